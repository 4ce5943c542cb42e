/**
 * Test double for a model engine with continuous batching.
 */
package org.wigeonglade.standins.engine;
