/** A stand-in for a target: slots, drain, cold start, shedding and broken answers. */
package org.knapweedhatch.standin.target;
