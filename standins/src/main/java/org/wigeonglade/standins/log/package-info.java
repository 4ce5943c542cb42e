/**
 * Stand-in for the platform's log service.
 */
package org.wigeonglade.standins.log;
