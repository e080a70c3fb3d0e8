/** The story of one request, from the log lines of all hosts. */
package org.knapweedhatch.cli.explain;
