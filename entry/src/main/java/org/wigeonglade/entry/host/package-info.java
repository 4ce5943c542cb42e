/**
 * Life cycle of an entry host: wiring of its components, start, planned stop and abrupt
 * termination.
 */
package org.wigeonglade.entry.host;
