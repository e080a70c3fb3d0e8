/** The time line: typed events of all hosts in one order. */
package org.knapweedhatch.timeline;
