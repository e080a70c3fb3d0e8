package org.knapweedhatch.cli;

/** The exit codes of the tool; scripts may rely on them. */
public enum ExitCode {
    /** It was done, or every check passed. */
    OK(0),
    /** It was refused, or a check failed; nothing was changed. */
    FAILED(1),
    /** The arguments or the settings are wrong. */
    USAGE(2),
    /** The platform or the hosts could not be reached; nothing was changed. */
    UNREACHABLE(3),
    /** Another operator's change came first; nothing was changed. */
    CONFLICT(4),
    /** Whether it was done could not be found out; the same command with the same note is safe to repeat. */
    UNKNOWN(5);

    private final int number;

    ExitCode(int number) {
        this.number = number;
    }

    /** Returns the number that the process exits with. */
    public int number() {
        return number;
    }
}
