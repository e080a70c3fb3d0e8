/** Requests that wait at the host while targets are short of slots: whom to serve next, and whom to reject. */
package org.knapweedhatch.queue;
