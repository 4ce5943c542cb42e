/**
 * Reading of settings and configuration files. Every file is checked against its JSON
 * Schema and against the references between its parts before any value is used.
 */
package org.wigeonglade.core.settings;
