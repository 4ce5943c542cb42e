/**
 * Test double for the platform's store of model weights.
 */
package org.wigeonglade.standins.weight;
