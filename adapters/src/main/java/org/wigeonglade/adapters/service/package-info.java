/**
 * Client of plain services.
 */
package org.wigeonglade.adapters.service;
