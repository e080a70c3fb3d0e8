/** The operators' command-line tool. */
package org.knapweedhatch.cli;
