/**
 * Event streams of runners as complete events. Pure: bytes in, events out.
 */
package org.wigeonglade.gateway.stream;
