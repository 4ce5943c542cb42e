/**
 * Test doubles (stand-ins) for the platform, the model engines and other HTTP services,
 * with fault injection. This package contains the HTTP server and the fault schedule that
 * they share.
 */
package org.wigeonglade.standins;
