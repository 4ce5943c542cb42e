/**
 * Control runtime of a host: membership, digests and notices, following and publishing of
 * configurations, and placement. The decision logic is in {@code core}.
 */
package org.wigeonglade.entry.control;
