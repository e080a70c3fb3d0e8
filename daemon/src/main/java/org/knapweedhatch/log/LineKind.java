package org.knapweedhatch.log;

import java.util.Locale;

/** The kinds of log lines; docs/LOGS.md lists the fields of each. */
public enum LineKind {
    /** The process begins, ends, or has read its settings anew. */
    PROCESS(10),
    /** A dependency was lost or is back: the store, another host. */
    DEPENDENCY(50),
    /** A configuration came into force or was rejected. */
    CONFIGURATION(50),
    /** A belief about a target changed. */
    TARGET(200),
    /** A failure domain was evacuated or taken back. */
    EVACUATION(20),
    /** Another host was met, leaves, or fell silent. */
    HOST(100),
    /** Callers of this host's failure domain are told to use other hosts than before. */
    DIRECTORY(20),
    /** The event loop of callers' connections began to lag, or keeps up again. */
    LOOP(20),
    /** Callers' connections could not be accepted, or can be again. */
    ACCEPT(20),
    /** A request was admitted and sent to a target. */
    SENT(400),
    /** A request was answered with a target's answer. */
    ANSWERED(400),
    /** A team's rate was spent when a request came: what was left over all hosts and here. */
    LIMIT(200),
    /** A request was refused as not run. */
    REFUSED(400),
    /** A request ended without a target's answer, or its caller left. */
    FAILED(400),
    /** An attempt ended without an answer that can be passed on. */
    ATTEMPT(400),
    /** A target broke HTTP on a connection, which is closed. */
    PROTOCOL(50),
    /** A target stated its load in a header that cannot be read. */
    LOAD(5),
    /** A caller's request or connection was dropped for its memory. */
    MEMORY(50),
    /** A planned stop cut a caller's connection that still carried something. */
    CUT(100),
    /** Lines were left out. */
    DROPPED(10),
    /** A message of a library or of a part without a kind of its own. */
    MESSAGE(50);

    private final int linesPerSecond;

    LineKind(int linesPerSecond) {
        this.linesPerSecond = linesPerSecond;
    }

    /** Returns how many lines of this kind are written per second at most; several times those of a busy host. */
    public int linesPerSecond() {
        return linesPerSecond;
    }

    /** Returns the name as it stands in a line. */
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
