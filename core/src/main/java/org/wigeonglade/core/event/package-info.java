/**
 * Numbered log events. {@code docs/events.md} is their catalogue; a test compares both.
 */
package org.wigeonglade.core.event;
