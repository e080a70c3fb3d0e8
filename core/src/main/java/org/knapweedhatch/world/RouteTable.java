package org.knapweedhatch.world;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;

/**
 * The routes of one host name by path prefix. A look-up takes one step for each different length of a prefix, whatever
 * the number of routes.
 */
final class RouteTable {

    private static final RouteTable EMPTY = of(List.of());

    private final Map<String, Route> byPrefix;
    /** The different lengths of prefixes, longest first. */
    private final int[] lengths;

    private RouteTable(Map<String, Route> byPrefix, int[] lengths) {
        this.byPrefix = byPrefix;
        this.lengths = lengths;
    }

    static RouteTable empty() {
        return EMPTY;
    }

    /** Creates a table; of routes with equal prefixes the first by name is used. */
    static RouteTable of(Collection<Route> routes) {
        Map<String, Route> byPrefix = new HashMap<>();
        routes.stream()
                .sorted(Comparator.comparing(Route::name))
                .forEach(route -> byPrefix.putIfAbsent(route.path(), route));
        int[] ascending = byPrefix.keySet().stream()
                .mapToInt(String::length)
                .distinct()
                .sorted()
                .toArray();
        int[] descending = IntStream.rangeClosed(1, ascending.length)
                .map(i -> ascending[ascending.length - i])
                .toArray();
        return new RouteTable(byPrefix, descending);
    }

    /** Returns the routes whose prefixes begin a path, longest first. */
    List<Route> matches(String path) {
        return IntStream.of(lengths)
                .filter(length -> endsAtSegment(path, length))
                .mapToObj(length -> byPrefix.get(path.substring(0, length)))
                .filter(route -> route != null)
                .toList();
    }

    /** Returns the route with the longest prefix that begins a path; empty if none does. */
    Optional<Route> longestMatch(String path) {
        for (int length : lengths) {
            if (endsAtSegment(path, length)) {
                Route route = byPrefix.get(path.substring(0, length));
                if (route != null) {
                    return Optional.of(route);
                }
            }
        }
        return Optional.empty();
    }

    private static boolean endsAtSegment(String path, int length) {
        if (length >= path.length()) {
            return length == path.length();
        }
        return path.charAt(length - 1) == '/' || path.charAt(length) == '/';
    }
}
