/**
 * Transport of protobuf frames between hosts over Netty: connections, correlation of
 * replies, time-outs, reconnection and TLS. Registered handlers interpret the frames.
 */
package org.wigeonglade.peer;
