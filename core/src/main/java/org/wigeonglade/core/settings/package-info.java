/**
 * Parsing of settings and configuration files. Every file is validated against its JSON
 * Schema and for the references between its parts before any value is used.
 */
package org.wigeonglade.core.settings;
