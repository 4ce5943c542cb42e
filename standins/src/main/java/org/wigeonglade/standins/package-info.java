/**
 * Scripted stand-ins (test doubles) for the platform, the engines and the plain services.
 * This package holds what all of them share.
 */
package org.wigeonglade.standins;
