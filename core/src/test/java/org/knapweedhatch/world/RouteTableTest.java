package org.knapweedhatch.world;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Finds the same route as a search through all of them, by prefix and not by the order or number of routes. */
class RouteTableTest {

    private static final String[] SEGMENTS = {"a", "b", "ab", "a/b", "", "abc"};

    private static Route route(String name, String path) {
        return new Route(name, path, "orders", Access.OPEN);
    }

    private static String randomPath(Random random) {
        StringBuilder path = new StringBuilder("/");
        for (int i = random.nextInt(4); i > 0; i--) {
            path.append(SEGMENTS[random.nextInt(SEGMENTS.length)]).append(random.nextInt(4) == 0 ? "" : "/");
        }
        return path.toString();
    }

    private static boolean begins(String prefix, String path) {
        boolean wholeSegment = path.length() == prefix.length()
                || prefix.endsWith("/")
                || path.startsWith(prefix) && path.charAt(prefix.length()) == '/';
        return path.startsWith(prefix) && wholeSegment;
    }

    private static Optional<Route> search(List<Route> routes, String path) {
        return routes.stream()
                .filter(route -> begins(route.path(), path))
                .min(Comparator.comparingInt((Route route) -> -route.path().length())
                        .thenComparing(Route::name));
    }

    @Test
    void findsTheSameRouteAsASearchThroughAll() {
        Random random = new Random(5);
        for (int round = 0; round < 2_000; round++) {
            List<Route> routes = new ArrayList<>();
            for (int i = random.nextInt(12); i > 0; i--) {
                routes.add(route("r" + random.nextInt(100), randomPath(random)));
            }
            RouteTable table = RouteTable.of(routes);
            String path = randomPath(random) + (random.nextBoolean() ? "x" : "");
            assertEquals(search(routes, path), table.longestMatch(path), path + " in " + routes);
            assertEquals(search(routes, path), table.matches(path).stream().findFirst(), path);
        }
    }

    @Test
    void allMatchesComeLongestFirst() {
        RouteTable table = RouteTable.of(List.of(route("root", "/"), route("b", "/a/b/"), route("a", "/a/")));
        assertEquals(
                List.of("b", "a", "root"),
                table.matches("/a/b/c").stream().map(Route::name).toList());
    }

    @Test
    void emptyTableMatchesNothing() {
        assertEquals(Optional.empty(), RouteTable.empty().longestMatch("/a"));
    }
}
