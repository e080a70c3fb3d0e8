package org.knapweedhatch.steer;

import java.util.Arrays;

/**
 * Immutable table of address prefixes of one family for longest-prefix matching.
 *
 * <p>Besides the sorted prefixes it holds the disjoint address ranges that they define, for lookup by binary search.
 *
 * <p>An address is a long: the upper 64 bits of an IPv6 address, or an IPv4 address in its upper half.
 */
final class PrefixTable {

    static final short NONE = -1;
    private static final int FULL_LENGTH = 64;

    /** A prefix and its value; as a change, a value of {@link #NONE} removes the prefix. */
    record Prefix(long key, byte length, short value) implements Comparable<Prefix> {
        @Override
        public int compareTo(Prefix that) {
            int byKey = Long.compareUnsigned(key, that.key);
            return byKey != 0 ? byKey : Byte.compare(length, that.length);
        }
    }

    private final long[] keys;
    private final byte[] lengths;
    private final short[] values;
    private final long[] starts;
    private final short[] startValues;

    private PrefixTable(long[] keys, byte[] lengths, short[] values) {
        this.keys = keys;
        this.lengths = lengths;
        this.values = values;
        RangeBuilder ranges = new RangeBuilder(2 * keys.length + 1);
        ranges.addAll(this);
        starts = Arrays.copyOf(ranges.starts, ranges.size);
        startValues = Arrays.copyOf(ranges.values, ranges.size);
    }

    static PrefixTable empty() {
        return new PrefixTable(new long[0], new byte[0], new short[0]);
    }

    int size() {
        return keys.length;
    }

    /** Returns the value of the longest prefix that contains an address, or {@link #NONE}. */
    short longestMatch(long address) {
        int low = 0;
        int high = starts.length - 1;
        while (low < high) {
            int middle = (low + high + 1) >>> 1;
            if (Long.compareUnsigned(starts[middle], address) <= 0) {
                low = middle;
            } else {
                high = middle - 1;
            }
        }
        return startValues[low];
    }

    /** Returns a copy of this table with some prefixes changed; of two changes to one prefix the later wins. */
    PrefixTable with(Prefix[] changes) {
        Prefix[] sorted = changes.clone();
        Arrays.sort(sorted);
        long[] newKeys = new long[keys.length + sorted.length];
        byte[] newLengths = new byte[newKeys.length];
        short[] newValues = new short[newKeys.length];
        int size = 0;
        int old = 0;
        for (int i = 0; i <= sorted.length; i++) {
            Prefix change = i < sorted.length ? sorted[i] : null;
            while (old < keys.length && (change == null || compare(old, change) < 0)) {
                newKeys[size] = keys[old];
                newLengths[size] = lengths[old];
                newValues[size++] = values[old++];
            }
            boolean superseded = i + 1 < sorted.length && sorted[i + 1].compareTo(sorted[i]) == 0;
            if (change == null || superseded) {
                continue;
            }
            if (old < keys.length && compare(old, change) == 0) {
                old++;
            }
            if (change.value() != NONE) {
                newKeys[size] = change.key();
                newLengths[size] = change.length();
                newValues[size++] = change.value();
            }
        }
        return new PrefixTable(
                Arrays.copyOf(newKeys, size), Arrays.copyOf(newLengths, size), Arrays.copyOf(newValues, size));
    }

    private int compare(int index, Prefix change) {
        int byKey = Long.compareUnsigned(keys[index], change.key());
        return byKey != 0 ? byKey : Byte.compare(lengths[index], change.length());
    }

    /** Builds the disjoint ranges in one sweep over the sorted prefixes, with a stack of the open ones. */
    private static final class RangeBuilder {
        private final long[] starts;
        private final short[] values;
        private final long[] openEnds = new long[FULL_LENGTH + 1];
        private final short[] openValues = new short[FULL_LENGTH + 1];
        private int openCount;
        private int size;

        RangeBuilder(int capacity) {
            starts = new long[capacity];
            values = new short[capacity];
        }

        void addAll(PrefixTable prefixes) {
            add(0, NONE);
            for (int i = 0; i < prefixes.keys.length; i++) {
                closeBefore(prefixes.keys[i]);
                add(prefixes.keys[i], prefixes.values[i]);
                openEnds[openCount] = lastAddress(prefixes.keys[i], prefixes.lengths[i]);
                openValues[openCount++] = prefixes.values[i];
            }
            while (openCount > 0) {
                close();
            }
        }

        private void closeBefore(long key) {
            while (openCount > 0 && Long.compareUnsigned(openEnds[openCount - 1], key) < 0) {
                close();
            }
        }

        private void close() {
            long end = openEnds[--openCount];
            if (end != -1L) {
                add(end + 1, openCount > 0 ? openValues[openCount - 1] : NONE);
            }
        }

        private void add(long start, short value) {
            if (size > 0 && starts[size - 1] == start) {
                size--;
            }
            if (size > 0 && values[size - 1] == value) {
                return;
            }
            starts[size] = start;
            values[size++] = value;
        }

        private static long lastAddress(long key, byte length) {
            return length == FULL_LENGTH ? key : key | (-1L >>> length);
        }
    }
}
