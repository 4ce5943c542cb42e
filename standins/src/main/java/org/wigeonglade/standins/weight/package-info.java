/**
 * Stand-in for the platform's weight store.
 */
package org.wigeonglade.standins.weight;
