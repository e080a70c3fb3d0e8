/** Which target a request is sent to, and whether it is refused instead. */
package org.knapweedhatch.place;
