/**
 * Life cycle of one entry host: wiring of its parts, start, planned stop and abrupt end.
 */
package org.wigeonglade.entry.host;
