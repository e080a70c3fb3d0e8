/** Load balancing: chooses the target of each request, or refuses the request. */
package org.knapweedhatch.place;
