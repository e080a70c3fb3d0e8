/** What the connections of a host share: memory and descriptors, and which connection gives way where they run out. */
package org.knapweedhatch.resource;
