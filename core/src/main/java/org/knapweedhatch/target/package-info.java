/** The known targets, from their registrations in the store and through outages of the store. */
package org.knapweedhatch.target;
