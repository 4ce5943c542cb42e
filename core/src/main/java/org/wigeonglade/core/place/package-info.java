/**
 * Placement of models on runners: lease and term of the holder, assignment of models, and
 * the commands that may be sent now. Pure functions of the control stream, the reported
 * state of the runners and the clock.
 */
package org.wigeonglade.core.place;
