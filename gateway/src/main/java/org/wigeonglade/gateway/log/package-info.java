/**
 * Numbered log events of the gateway.
 */
package org.wigeonglade.gateway.log;
