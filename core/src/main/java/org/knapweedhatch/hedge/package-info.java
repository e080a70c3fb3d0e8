/** Hedged requests: when a second attempt is sent before the first has answered, and what forbids it. */
package org.knapweedhatch.hedge;
