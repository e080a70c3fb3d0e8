/** The HTTP side of an entry host: callers in, targets and other hosts out. */
package org.knapweedhatch.edge;
