/** Measurements of a trace or of live hosts, set beside a naive fleet and an earlier run. */
package org.knapweedhatch.cli.bench;
