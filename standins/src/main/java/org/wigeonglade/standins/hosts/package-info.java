/**
 * Stand-in for the platform's host list.
 */
package org.wigeonglade.standins.hosts;
