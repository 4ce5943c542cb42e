/**
 * JSON format of completion requests and responses, shared by the HTTP interface for
 * callers and the batch dispatcher.
 */
package org.wigeonglade.entry.completion;
