/**
 * Control runtime of a host: membership, digests and notices, the configuration follower
 * and publisher, and placement. The decisions themselves are in core.
 */
package org.wigeonglade.entry.control;
