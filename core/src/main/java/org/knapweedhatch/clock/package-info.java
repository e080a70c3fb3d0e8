/** Time as an interface: the system's clock and a manual one. */
package org.knapweedhatch.clock;
