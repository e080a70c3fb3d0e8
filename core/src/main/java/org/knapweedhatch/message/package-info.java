/** Messages between hosts: the common type, the envelope for sending, and the names of HTTP headers. */
package org.knapweedhatch.message;
