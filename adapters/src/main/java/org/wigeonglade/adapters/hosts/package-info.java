/**
 * Client of the platform's host list.
 */
package org.wigeonglade.adapters.hosts;
