package org.knapweedhatch.cli.replay.check;

import org.knapweedhatch.world.Configuration;

/** Sees everything that the fakes at the edges of a fleet see, by rising time in nanoseconds. */
public interface Observer {

    /** A caller sent a request. */
    default void arrived(Request request) {}

    /** A host admitted a request for a team. */
    default void admitted(long nanos, String host, Request request, String team) {}

    /** A target began to hold a request, running or queued. */
    default void started(long nanos, Request request, String team, String target) {}

    /** A target holds a request no longer. */
    default void finished(long nanos, Request request, String target) {}

    /** A request left the region of its host for another region. */
    default void moved(long nanos, Request request, String from, String to) {}

    /** Bytes left one region for another. */
    default void sent(long nanos, String link, long bytes) {}

    /** A caller received the outcome of its request. */
    default void answered(long nanos, Request request, Outcome outcome) {}

    /** The platform accepted a configuration. */
    default void accepted(long nanos, Configuration configuration) {}

    /** A process of a host has a configuration in force. */
    default void applied(long nanos, String host, long process, long number) {}

    /** A host can, or can no longer, be reached by any other host or the platform. */
    default void reachable(long nanos, String host, boolean reachable) {}

    /** The replay is over. */
    default void ended(long nanos) {}
}
