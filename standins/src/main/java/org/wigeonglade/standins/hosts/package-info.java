/**
 * Test double for the platform's host list service.
 */
package org.wigeonglade.standins.hosts;
