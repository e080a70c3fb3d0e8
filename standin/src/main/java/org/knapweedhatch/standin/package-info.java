/** Small stand-ins for the platform and for targets. */
package org.knapweedhatch.standin;
