/**
 * Loopback links with latency and cuts for partition tests.
 */
package org.wigeonglade.standins.net;
