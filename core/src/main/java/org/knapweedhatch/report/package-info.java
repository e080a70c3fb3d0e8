/** What hosts tell each other several times a second about the load that each of them carries. */
package org.knapweedhatch.report;
