/** Load reports that hosts send to each other several times a second. */
package org.knapweedhatch.report;
