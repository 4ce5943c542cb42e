/**
 * Admission control: a fair queue between workspaces, and the expected delay for early
 * rejections. Everything here is deterministic and independent of sockets and clocks.
 */
package org.wigeonglade.core.admit;
