/** Benchmarks of limits. */
package org.knapweedhatch.benchmarks.limit;
