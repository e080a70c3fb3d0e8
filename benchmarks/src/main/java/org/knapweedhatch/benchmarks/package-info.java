/** Benchmarks of the hot paths. */
package org.knapweedhatch.benchmarks;
