package org.knapweedhatch.platform;

/**
 * Numbers of calls of the object API by type. A watch counts as one call, however long it waits.
 *
 * @param reads reads of single objects
 * @param writes creates, updates and deletes
 * @param lists listings of objects and hosts
 * @param watches watches
 */
public record CallCounts(long reads, long writes, long lists, long watches) {

    /** Returns the total number of calls. */
    public long total() {
        return reads + writes + lists + watches;
    }

    /** Returns the calls made since an earlier snapshot. */
    public CallCounts since(CallCounts earlier) {
        return new CallCounts(
                reads - earlier.reads, writes - earlier.writes, lists - earlier.lists, watches - earlier.watches);
    }
}
