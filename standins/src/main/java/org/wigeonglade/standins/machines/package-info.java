/**
 * Test doubles for the users' machines: the platform's record store, its operator,
 * runners and callers. They implement the platform's own wire format, so they use its
 * names, which differ from those of this project.
 */
package org.wigeonglade.standins.machines;
