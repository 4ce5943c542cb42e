/**
 * Online load and batch work side by side, measured against each of them alone.
 */
package org.wigeonglade.bench.mixed;
