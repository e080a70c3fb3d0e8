/** The operators' command-line tool: one class per command, and the session that they share. */
package org.knapweedhatch.cli;
