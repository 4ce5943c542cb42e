package org.wigeonglade.entry.batch;

import org.wigeonglade.schema.generated.settings.LimitSettings;

/**
 * Limits of an upload.
 *
 * @param maxBodyBytes the largest body
 * @param maxItemBytes the largest line
 * @param maxItems the largest number of items
 * @param maxDepth the deepest nesting of a body
 */
record UploadLimits(long maxBodyBytes, int maxItemBytes, int maxItems, int maxDepth) {

	static UploadLimits of(LimitSettings settings) {
		return new UploadLimits(settings.getMaxBatchBodyBytes(), settings.getMaxItemBytes(),
				settings.getMaxItemsPerBatch(), settings.getMaxJsonDepth());
	}

}
