package org.knapweedhatch.limit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.knapweedhatch.helper.Validate;

/**
 * Formats and parses the text of a split: a header line with the version, one line per host, and one line per pool. A
 * pool line has two base-36 digits per slice, the index of the owner among the host lines.
 */
final class SplitCodec {

    private static final int RADIX = 36;
    private static final int DIGITS = 2;
    private static final int HOST_FIELDS = 5;

    private SplitCodec() {}

    static String format(Split split) {
        StringBuilder text = new StringBuilder("split ").append(split.version()).append('\n');
        Map<String, Integer> index = new HashMap<>();
        for (SplitHost h : split.hosts().values()) {
            index.put(h.name(), index.size());
            text.append(String.join(
                    " ",
                    h.name(),
                    h.region(),
                    h.domain(),
                    Long.toString(h.incarnation(), RADIX),
                    Long.toString(h.fencedAt(), RADIX)));
            text.append('\n');
        }
        split.owners().forEach((pool, table) -> appendPool(text, pool, table, index));
        return text.toString();
    }

    private static void appendPool(StringBuilder text, String pool, String[] table, Map<String, Integer> index) {
        text.append("pool ").append(pool).append(' ');
        for (String owner : table) {
            int i = index.get(owner);
            text.append(Character.forDigit(i / RADIX, RADIX)).append(Character.forDigit(i % RADIX, RADIX));
        }
        text.append('\n');
    }

    static Split parse(String text) {
        String[] lines = text.split("\n", -1);
        Validate.isTrue(lines[0].matches("split \\d{1,18}"), "split must start with \"split <version>\": %s", lines[0]);
        TreeMap<String, SplitHost> hosts = new TreeMap<>();
        TreeMap<String, String[]> owners = new TreeMap<>();
        List<String> names = new ArrayList<>();
        for (int i = 1; i < lines.length - 1; i++) {
            String[] fields = lines[i].split(" ", -1);
            if (fields[0].equals("pool") && fields.length == 3) {
                owners.put(fields[1], parsePool(fields[2], names));
            } else {
                SplitHost host = parseHost(fields);
                hosts.put(host.name(), host);
                names.add(host.name());
            }
        }
        return new Split(Long.parseLong(lines[0].substring("split ".length())), hosts, owners);
    }

    private static SplitHost parseHost(String[] fields) {
        Validate.isTrue(fields.length == HOST_FIELDS, "host line must have five fields: %s", String.join(" ", fields));
        return new SplitHost(
                fields[0], fields[1], fields[2], Long.parseLong(fields[3], RADIX), Long.parseLong(fields[4], RADIX));
    }

    private static String[] parsePool(String digits, List<String> names) {
        Validate.isTrue(digits.length() == Split.SLICES * DIGITS, "pool line must have %d slices", Split.SLICES);
        String[] table = new String[Split.SLICES];
        for (int i = 0; i < table.length; i++) {
            int owner = Integer.parseInt(digits, i * DIGITS, (i + 1) * DIGITS, RADIX);
            Validate.isTrue(owner >= 0 && owner < names.size(), "slice %d has an unknown owner", i);
            table[i] = names.get(owner);
        }
        return table;
    }
}
