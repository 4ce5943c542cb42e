/**
 * Completion bodies and answers as JSON, shared by the callers' interface and the batch
 * dispatcher.
 */
package org.wigeonglade.entry.completion;
