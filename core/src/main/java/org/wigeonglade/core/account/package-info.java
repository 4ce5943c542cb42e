/**
 * Accounts: recorded decisions with the data that they were based on, and their
 * explanation in plain sentences.
 */
package org.wigeonglade.core.account;
