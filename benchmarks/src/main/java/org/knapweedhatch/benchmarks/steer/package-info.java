/** Measurements of look-ups and steering decisions at the size of two years from now. */
package org.knapweedhatch.benchmarks.steer;
