/**
 * HTTP API for callers: authentication, limits, error bodies and the translation between
 * HTTP and the runtimes. Decisions about routing or admission do not belong here.
 */
package org.wigeonglade.entry.caller;
