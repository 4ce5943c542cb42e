package org.wigeonglade.gateway.job;

import java.nio.charset.StandardCharsets;

import com.google.common.hash.Hashing;

/**
 * Globally unique key of an item.
 *
 * @param job the job that contains the item, not null
 * @param item the item within the job, not null
 */
record ItemKey(JobId job, ItemId item) {

	/**
	 * Returns a hash of the ids that is the same on all hosts.
	 * @return the hash
	 */
	long stableHash() {
		return Hashing.murmur3_128()
			.newHasher()
			.putInt(this.job.value().length())
			.putString(this.job.value(), StandardCharsets.UTF_8)
			.putString(this.item.value(), StandardCharsets.UTF_8)
			.hash()
			.asLong();
	}

	// The methods that are generated for records are linked at run time, which is slow in
	// a process that has just started.
	@Override
	public boolean equals(Object other) {
		return other instanceof ItemKey that && this.job.equals(that.job) && this.item.equals(that.item);
	}

	@Override
	public int hashCode() {
		return 31 * this.job.hashCode() + this.item.hashCode();
	}

}
