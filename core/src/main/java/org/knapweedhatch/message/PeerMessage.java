package org.knapweedhatch.message;

/** A typed message from one host to another; each package defines its own records of it. */
public interface PeerMessage {}
