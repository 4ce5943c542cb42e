/**
 * HTTP/1.1 connections on one event loop: server connections from callers, and client
 * connections to runners and to the platform's store. The codec is Netty's; routing and
 * retries are decided elsewhere.
 */
package org.wigeonglade.gateway.http;
