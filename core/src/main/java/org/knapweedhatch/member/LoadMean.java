package org.knapweedhatch.member;

/** Computes the mean load of several hosts; {@link Load#NONE} for none. */
final class LoadMean {

    private int hosts;
    private double inFlight;
    private double waiting;
    private double requestsPerSecond;

    void add(Load load) {
        hosts++;
        inFlight += load.inFlight();
        waiting += load.waiting();
        requestsPerSecond += load.requestsPerSecond();
    }

    Load mean() {
        if (hosts == 0) {
            return Load.NONE;
        }
        return new Load(
                (int) Math.round(inFlight / hosts), (int) Math.round(waiting / hosts), requestsPerSecond / hosts);
    }
}
