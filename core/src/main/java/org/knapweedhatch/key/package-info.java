/** Keys of teams: checking the one that a request shows, and making new ones. */
package org.knapweedhatch.key;
