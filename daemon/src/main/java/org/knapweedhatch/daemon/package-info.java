/** The daemon of an entry host. */
package org.knapweedhatch.daemon;
