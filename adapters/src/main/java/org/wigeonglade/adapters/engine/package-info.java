/**
 * Client of model engines.
 */
package org.wigeonglade.adapters.engine;
