/** Small internal helpers shared by all packages. */
package org.knapweedhatch.helper;
