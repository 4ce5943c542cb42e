/**
 * Interface to the message transport between hosts. The implementation is in the peer
 * module.
 */
package org.wigeonglade.core.peer;
