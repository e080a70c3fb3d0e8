/** Follows the objects that the platform's store holds. */
package org.knapweedhatch.store;
