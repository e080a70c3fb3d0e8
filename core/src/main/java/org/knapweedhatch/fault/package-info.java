/** Typed results: a value, or a fault carrying the step and the peer at which it arose. */
package org.knapweedhatch.fault;
