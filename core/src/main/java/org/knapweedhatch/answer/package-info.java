/**
 * Request lifecycle: attempts, retries, proof that a request did not run, deadlines, idempotency claims and refusals.
 */
package org.knapweedhatch.answer;
