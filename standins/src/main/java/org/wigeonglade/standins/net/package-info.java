/**
 * TCP proxies on loopback that inject latency and network partitions.
 */
package org.wigeonglade.standins.net;
