/**
 * Online requests: how one is placed, sent, sent again where that is allowed, and
 * answered.
 */
package org.wigeonglade.gateway.online;
