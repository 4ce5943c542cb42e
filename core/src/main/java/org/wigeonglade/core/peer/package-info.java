/**
 * Port to the exchange between hosts. The implementation lives in the peer module.
 */
package org.wigeonglade.core.peer;
