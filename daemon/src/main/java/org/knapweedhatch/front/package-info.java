/**
 * The way of a request on a host that sends to targets itself: read from the caller, admitted, placed, sent, answered.
 *
 * <p>Everything of a connection and of its requests happens on the connection's event loop.
 */
package org.knapweedhatch.front;
