/** Keeps a local copy of the objects in the store of the platform, and this host's entry in its list of hosts. */
package org.knapweedhatch.store;
