/**
 * The HTTP proxy of an entry host: reads requests of callers, admits them, picks a target, sends them and returns the
 * response.
 *
 * <p>All work of a connection and of its requests runs on the event loop of that connection.
 */
package org.knapweedhatch.front;
