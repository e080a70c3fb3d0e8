package org.knapweedhatch.cli;

/**
 * One command of the tool. Its options and arguments are fields with args4j's annotations; an instance runs once.
 *
 * <pre>{@code
 * final class HostsCommand implements Command { ... }
 * }</pre>
 */
public interface Command {

    /** Returns the words that call it, such as {@code release check}. */
    String name();

    /** Returns what it does, in one line. */
    String summary();

    /** Runs it with its options set. */
    ExitCode run(Session session);
}
