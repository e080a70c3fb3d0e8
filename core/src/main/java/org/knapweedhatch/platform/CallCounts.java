package org.knapweedhatch.platform;

/**
 * How many calls of each sort were made; a waiting watch is one call.
 *
 * @param reads reads of one object
 * @param writes creates, updates and deletes
 * @param lists lists of objects and of hosts
 * @param watches watches
 */
public record CallCounts(long reads, long writes, long lists, long watches) {

    /** Returns the sum of all calls. */
    public long total() {
        return reads + writes + lists + watches;
    }

    /** Returns what was counted since an earlier reading. */
    public CallCounts since(CallCounts earlier) {
        return new CallCounts(
                reads - earlier.reads, writes - earlier.writes, lists - earlier.lists, watches - earlier.watches);
    }
}
