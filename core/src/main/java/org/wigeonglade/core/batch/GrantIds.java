package org.wigeonglade.core.batch;

/**
 * Layout of grant identifiers: the partition in the upper 12 bits, then 24 bits of the
 * term and 28 bits of a counter.
 */
public final class GrantIds {

	private static final int PARTITION_SHIFT = 52;

	private static final int TERM_SHIFT = 28;

	private static final long TERM_MASK = 0xffffffL;

	private static final long COUNTER_MASK = 0xfffffffL;

	private GrantIds() {
	}

	/**
	 * Returns the partition of a grant.
	 * @param grantId the identifier of the grant
	 * @return the partition, from 0
	 */
	public static int partitionOf(long grantId) {
		return (int) (grantId >>> PARTITION_SHIFT);
	}

	static long idOf(int partition, long term, long counter) {
		return ((long) partition << PARTITION_SHIFT) | ((term & TERM_MASK) << TERM_SHIFT) | (counter & COUNTER_MASK);
	}

}
