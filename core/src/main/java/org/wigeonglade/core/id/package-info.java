/**
 * Value types that identify hosts, upstreams, workspaces, jobs and log streams. Every
 * type validates its argument on construction and is ordered by its text.
 */
package org.wigeonglade.core.id;
