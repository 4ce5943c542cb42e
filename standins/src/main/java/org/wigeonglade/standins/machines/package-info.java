/**
 * Stand-ins for the users' machines: the platform's store and its runners, in their own
 * wire format. They know the platform's names because they play it.
 */
package org.wigeonglade.standins.machines;
