/**
 * Account of events: what was decided, on which figures, and the plain sentences that
 * tell it.
 */
package org.wigeonglade.core.account;
