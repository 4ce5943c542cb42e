/**
 * Admission: a fair queue between workspaces, the expected wait, and early refusals.
 * Everything here is deterministic and independent of sockets and clocks.
 */
package org.wigeonglade.core.admit;
