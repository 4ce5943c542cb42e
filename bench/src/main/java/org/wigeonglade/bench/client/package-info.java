/**
 * Clients of a fleet as a caller sees it. They share no code with the entry hosts beyond
 * the HTTP library, so that their figures are independent.
 */
package org.wigeonglade.bench.client;
