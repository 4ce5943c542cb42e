package org.wigeonglade.core.batch;

/**
 * Names the writer of records.
 *
 * @param host the host
 * @param incarnation grows with each start of the host
 */
public record WriterIdentity(String host, long incarnation) {
}
