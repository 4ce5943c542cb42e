/**
 * Slopes of the resources that the system takes, each measured at three or more sizes,
 * for the capacity page.
 */
package org.wigeonglade.bench.capacity;
