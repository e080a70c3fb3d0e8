package org.knapweedhatch.cli.replay.check;

/** The promises that a replay checks. */
public enum Promise {
    TEAM_WINDOW("no team gets more than its rate and burst over all hosts"),
    SHIFT_CAP("a shift of traffic never exceeds its cap"),
    TARGET_SLOTS("no target holds more than its slots"),
    LINK_BYTES("no link carries more than it is declared for"),
    AT_MOST_ONCE("a request that is not idempotent runs at most once"),
    NOT_RUN("a request refused as not run did not run"),
    WHOLE_ANSWER("each caller receives the whole answer to its own request, once"),
    KEY("a request runs only for the team whose key in force came with it"),
    DRAIN("a leaving target gets no new work after a few seconds"),
    CONFIGURATION_RISES("a configuration in force never reverts"),
    CONFIGURATION_IN_FORCE("an accepted configuration is in force everywhere within seconds"),
    STATED_OUTCOME("the outcomes that the trace states");

    private final String sentence;

    Promise(String sentence) {
        this.sentence = sentence;
    }

    /** Returns the promise as a sentence. */
    public String sentence() {
        return sentence;
    }
}
