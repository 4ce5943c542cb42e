/**
 * Measures how long hosts of the users' machines take to list the stored jobs after a
 * start, and what they read of the store while others append.
 */
package org.wigeonglade.bench.listing;
