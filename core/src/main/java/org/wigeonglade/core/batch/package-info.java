/**
 * Batch jobs: replay of partition streams, partition ownership, group commit and the
 * scheduling of items. Nothing here depends on sockets or event loops.
 */
package org.wigeonglade.core.batch;
