package org.wigeonglade.entry.batch;

import org.wigeonglade.schema.generated.settings.LimitSettings;

/**
 * Limits of an upload, from the settings of the host.
 *
 * @param maxBodyBytes the largest size of the whole body
 * @param maxItemBytes the largest size of a line
 * @param maxItems the largest number of items
 * @param maxDepth the largest JSON nesting depth of the body of an item
 */
record UploadLimits(long maxBodyBytes, int maxItemBytes, int maxItems, int maxDepth) {

	static UploadLimits of(LimitSettings settings) {
		return new UploadLimits(settings.getMaxBatchBodyBytes(), settings.getMaxItemBytes(),
				settings.getMaxItemsPerBatch(), settings.getMaxJsonDepth());
	}

}
