package org.wigeonglade.core.member;

import org.wigeonglade.core.id.HostId;

/**
 * Holds what the last digest of an owner told of its partition.
 *
 * @param host the owner
 * @param term the term that it owns the partition under
 * @param pendingItems the items that wait or run
 * @param headOffset the offset up to which it has replayed the stream
 * @param seenMillis the local monotonic time of that digest
 */
public record PartitionOwner(HostId host, long term, int pendingItems, long headOffset, long seenMillis) {
}
