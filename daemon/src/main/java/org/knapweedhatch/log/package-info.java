/** Structured log lines on standard output, bounded in number and never blocking. */
package org.knapweedhatch.log;
