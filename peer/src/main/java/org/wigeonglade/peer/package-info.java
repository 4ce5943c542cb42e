/**
 * Exchange of protobuf frames between hosts over Netty: connections, correlation of
 * replies, time-outs, reconnection and TLS. What the frames mean belongs elsewhere.
 */
package org.wigeonglade.peer;
