package org.knapweedhatch.message;

/** A message from one host to another; each package defines records for its own messages. */
public interface PeerMessage {}
