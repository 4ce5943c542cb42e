/**
 * Retry budgets and the quarantine of requests that crash runners. Everything here is a
 * pure function of its arguments.
 */
package org.wigeonglade.core.retry;
