/**
 * Batch jobs: their records, the state that every host derives from them, which items a
 * host runs, and the calls of submitters.
 */
package org.wigeonglade.gateway.job;
