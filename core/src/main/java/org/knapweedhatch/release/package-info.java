/** Release notes and their validation, the store of numbered configurations, and their distribution to the hosts. */
package org.knapweedhatch.release;
