/**
 * HTTP/1.1 connections on one event loop: callers on one side, servers on the other. The
 * codec is Netty's; routing and retries are decided elsewhere.
 */
package org.wigeonglade.gateway.http;
