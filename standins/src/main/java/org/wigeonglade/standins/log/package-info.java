/**
 * Test double for the platform's append-only log service.
 */
package org.wigeonglade.standins.log;
