/**
 * The other hosts: who they are, which are alive, and datagrams that tell the load.
 */
package org.wigeonglade.gateway.peer;
