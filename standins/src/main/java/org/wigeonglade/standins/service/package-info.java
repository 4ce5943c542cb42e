/**
 * Stand-in for an instance of a plain service.
 */
package org.wigeonglade.standins.service;
