/** The command that shows the time line of all hosts. */
package org.knapweedhatch.cli.timeline;
