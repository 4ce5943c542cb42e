package org.wigeonglade.core.member;

import org.wigeonglade.core.id.HostId;

/**
 * Owner of a partition and its state, as reported in the last digest of that host.
 *
 * @param host the owner
 * @param term the term of its ownership
 * @param pendingItems the batch items that are queued or running
 * @param headOffset the offset up to which it has replayed the stream of the partition
 * @param seenMillis the local monotonic time at which that digest was received
 */
public record PartitionOwner(HostId host, long term, int pendingItems, long headOffset, long seenMillis) {
}
