/**
 * TCP proxies on loopback that inject latency and network partitions, a listener for
 * stand-ins, and a server whose responses are written byte by byte.
 */
package org.wigeonglade.standins.net;
