/** Release notes, their checking, the numbered configuration in the platform, and how a host follows it. */
package org.knapweedhatch.release;
