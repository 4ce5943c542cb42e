/**
 * Client of the platform's log service.
 */
package org.wigeonglade.adapters.log;
