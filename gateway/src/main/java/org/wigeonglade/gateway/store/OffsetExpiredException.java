package org.wigeonglade.gateway.store;

import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.PlatformException;

/**
 * Thrown when records that are to be read are no longer retained.
 */
public final class OffsetExpiredException extends PlatformException {

	private static final long serialVersionUID = 1L;

	private final long firstOffset;

	/**
	 * Creates an exception.
	 * @param firstOffset the offset of the oldest retained record
	 */
	public OffsetExpiredException(long firstOffset) {
		super(ErrorCode.OFFSET_EXPIRED, "the store retains no records before offset " + firstOffset, null);
		this.firstOffset = firstOffset;
	}

	/**
	 * Returns the offset of the oldest retained record.
	 * @return the offset
	 */
	public long getFirstOffset() {
		return this.firstOffset;
	}

}
