/**
 * Placement of models on runners: who holds it under which term, which runner should
 * serve what, which commands may be given now, and when a holder must stop. Pure
 * functions of the control stream, observations and the clock.
 */
package org.wigeonglade.core.place;
