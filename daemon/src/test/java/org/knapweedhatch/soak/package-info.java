/** A randomized soak: real host processes under callers that keep their connections, and signals that overlap. */
package org.knapweedhatch.soak;
