package org.wigeonglade.core.batch;

/**
 * Identity of a log writer. Readers drop duplicates by it and by the sequence number.
 *
 * @param host the name of the host, or a name derived from it
 * @param incarnation a number that grows with each start of the host
 */
public record WriterIdentity(String host, long incarnation) {
}
