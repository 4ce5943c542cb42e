/**
 * Test double for an instance of an HTTP service that is not a model engine.
 */
package org.wigeonglade.standins.service;
