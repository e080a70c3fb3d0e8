/** The life of one request: attempts, proof that it did not run, deadline, claims and refusals. */
package org.knapweedhatch.answer;
