package org.knapweedhatch.limit;

import java.util.Random;

/** Platform with only the split object and its conditional update; it can be down, lose answers and read stale. */
final class FakeStore {

    private final Random random;
    private Split split = Split.absent();
    private Split previous = Split.absent();
    boolean down;
    double lostAnswerRate;
    double staleReadRate;
    int calls;
    int writes;

    FakeStore(Random random) {
        this.random = random;
    }

    Split read() {
        calls++;
        return random.nextDouble() < staleReadRate ? previous : split;
    }

    SplitOutcome write(SplitProposal proposal) {
        calls++;
        writes++;
        if (proposal.baseVersion() != split.version()) {
            return SplitOutcome.LOST;
        }
        previous = split;
        split = Split.parse(proposal.split().text());
        return SplitOutcome.WON;
    }

    boolean losesAnswer() {
        return random.nextDouble() < lostAnswerRate;
    }

    Split current() {
        return split;
    }
}
