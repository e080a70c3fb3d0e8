/** The marker of everything that hosts send to each other. */
package org.knapweedhatch.message;
