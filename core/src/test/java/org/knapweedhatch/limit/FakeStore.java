package org.knapweedhatch.limit;

import java.util.Random;

/** The one split object with its conditional update; it can be down, lose answers, and write late. */
final class FakeStore {

    private final Random random;
    private Split split = Split.absent();
    private Split before = Split.absent();
    boolean down;
    double lostAnswers;
    double staleReads;
    int calls;
    int writes;

    FakeStore(Random random) {
        this.random = random;
    }

    Split read() {
        calls++;
        return random.nextDouble() < staleReads ? before : split;
    }

    SplitOutcome write(SplitProposal proposal) {
        calls++;
        writes++;
        if (proposal.baseVersion() != split.version()) {
            return SplitOutcome.LOST;
        }
        before = split;
        split = Split.parse(proposal.split().text());
        return SplitOutcome.WON;
    }

    boolean losesAnswer() {
        return random.nextDouble() < lostAnswers;
    }

    Split current() {
        return split;
    }
}
