package org.knapweedhatch.platform;

import java.util.concurrent.atomic.LongAdder;

/** Counts the calls of the object API by type. Safe for use by many threads. */
public final class CallCounter {

    private final LongAdder reads = new LongAdder();
    private final LongAdder writes = new LongAdder();
    private final LongAdder lists = new LongAdder();
    private final LongAdder watches = new LongAdder();

    /** Counts a read of one object. */
    public void read() {
        reads.increment();
    }

    /** Counts a write, that is a create, update or delete. */
    public void write() {
        writes.increment();
    }

    /** Counts a listing of objects or hosts. */
    public void list() {
        lists.increment();
    }

    /** Counts a watch. */
    public void watch() {
        watches.increment();
    }

    /** Returns the current counts. */
    public CallCounts counts() {
        return new CallCounts(reads.sum(), writes.sum(), lists.sum(), watches.sum());
    }
}
