/**
 * HTTP/1.1 connections on one event loop: server connections from callers, and client
 * connections to runners and to the platform's store. Requests of callers are read by
 * Netty's decoder with strict checks, responses of servers by a strict parser, since what
 * a lenient one mends may be the bytes of two messages. Routing and retries are decided
 * elsewhere.
 */
package org.wigeonglade.gateway.http;
