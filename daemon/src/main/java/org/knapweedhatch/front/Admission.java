package org.knapweedhatch.front;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import java.time.Duration;
import java.util.HashSet;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import org.knapweedhatch.answer.Reason;
import org.knapweedhatch.answer.Refusal;
import org.knapweedhatch.key.KeyCheck;
import org.knapweedhatch.log.LineKind;
import org.knapweedhatch.place.Placement;
import org.knapweedhatch.quota.RateDecision;
import org.knapweedhatch.quota.RateLimitExceeded;
import org.knapweedhatch.world.Access;
import org.knapweedhatch.world.Configuration;
import org.knapweedhatch.world.Route;
import org.knapweedhatch.world.Team;

/** Determines the route, team and service of a request, or why it is refused; the team's rate is checked apart. */
final class Admission {

    /** Refusal of what this host could not finish before it stops; other hosts take the request at once. */
    static final Refusal LEAVING = Refusal.of(Reason.LEAVING).retryAfter(Duration.ZERO);

    private final FrontContext context;
    private final DestinationSelector destinations = new DestinationSelector();

    Admission(FrontContext context) {
        this.context = context;
    }

    /** The decision about one request. */
    sealed interface Decision {}

    /**
     * The request is allowed, within its team's rate.
     *
     * @param route route of the request
     * @param team name of the team; empty on routes that are open to all
     * @param priority priority of the request; 0 is the highest
     * @param service service that the request is sent to
     * @param regions regions whose targets may run it; empty for all
     */
    record Admitted(Route route, String team, int priority, String service, Set<String> regions) implements Decision {
        private Admitted to(String selected) {
            return new Admitted(route, team, priority, selected, regions);
        }
    }

    /** The request is refused; the team is empty if it is unknown. */
    record Refused(Refusal refusal, String team) implements Decision {}

    /** Decides on a request, and selects the service that it goes to if it is allowed. */
    Decision decide(HttpRequest request) {
        Decision decision = examine(request);
        return decision instanceof Admitted allowed
                ? allowed.to(destinations.next(allowed.route()).service())
                : decision;
    }

    /** Decides on a request by its head without the selection of a service, which is left empty. */
    Decision examine(HttpRequest request) {
        if (context.stop().filter(stop -> !stop.takesRequests()).isPresent()) {
            return new Refused(LEAVING, "");
        }
        Configuration configuration = context.configuration();
        if (configuration.number() == 0) {
            return refused(Reason.NO_CONFIGURATION, "");
        }
        Optional<Route> route = configuration.route(hostOf(request), pathOf(request.uri()));
        if (route.isEmpty()) {
            return refused(Reason.NO_ROUTE, "");
        }
        if (route.get().access() == Access.OPEN) {
            return admitted(
                    route.get(),
                    "",
                    route.get().policy().priority(),
                    route.get().regions());
        }
        KeyCheck check = context.keys()
                .check(request.headers().get(context.headerScheme().key()));
        if (check instanceof KeyCheck.Rejected rejected) {
            return refused(toReason(rejected.reason()), "");
        }
        Team team = configuration.teams().get(((KeyCheck.Accepted) check).key().team());
        return admitted(
                route.get(),
                team.name(),
                team.priorityOn(route.get()),
                intersection(route.get().regions(), team.regions()));
    }

    /** Returns the refusal of a request beyond its team's rate, and logs what it was decided by. */
    Refused overLimit(HttpRequest request, String team, RateDecision.Refused refused) {
        RateLimitExceeded exceeded = refused.exceeded();
        context.log()
                .line(LineKind.LIMIT)
                .put("request", request.headers().get(context.headerScheme().requestId()))
                .put("team", team)
                .put("holder", refused.host().isEmpty() ? null : refused.host())
                .put("rate", exceeded.rate())
                .put("level", exceeded.fleetTokens())
                .put("own", exceeded.hostTokens())
                .put("hosts", exceeded.fleet().hosts())
                .put("heard", exceeded.fleet().heard())
                .write();
        return new Refused(Refusal.of(Reason.LIMITED).retryAfter(exceeded.retryAfter()), team);
    }

    /** Returns the refusal of a request for which the placer found no target. */
    static Refusal refusalOf(Placement.Refused refused) {
        return switch (refused.cause()) {
            case BUSY -> Refusal.of(Reason.BUSY).retryAfter(refused.retryAfter());
            case NO_TARGET -> Refusal.of(Reason.NO_TARGET).retryAfter(refused.retryAfter());
            case STOPPING -> LEAVING;
        };
    }

    private static Decision admitted(Route route, String team, int priority, Set<String> regions) {
        return new Admitted(route, team, priority, "", regions);
    }

    private static Refused refused(Reason reason, String team) {
        return new Refused(Refusal.of(reason), team);
    }

    /** Returns the regions that both sets allow. An empty set allows all; a set with the empty name allows none. */
    private static Set<String> intersection(Set<String> one, Set<String> other) {
        if (one.isEmpty() || other.isEmpty()) {
            return one.isEmpty() ? other : one;
        }
        Set<String> both = new HashSet<>(one);
        both.retainAll(other);
        return both.isEmpty() ? Set.of("") : both;
    }

    private static Reason toReason(KeyCheck.Reason reason) {
        return switch (reason) {
            case MISSING -> Reason.KEY_MISSING;
            case MALFORMED -> Reason.KEY_MALFORMED;
            case UNKNOWN -> Reason.KEY_UNKNOWN;
            case WITHDRAWN -> Reason.KEY_WITHDRAWN;
        };
    }

    /** Returns the host name of a request in lower case, without its port. */
    private static String hostOf(HttpRequest request) {
        HttpHeaders headers = request.headers();
        String host = Optional.ofNullable(headers.get(HttpHeaderNames.HOST)).orElse("");
        int port = host.lastIndexOf(':');
        boolean hasPort = port > host.lastIndexOf(']');
        return (hasPort ? host.substring(0, port) : host).toLowerCase(Locale.ROOT);
    }

    private static String pathOf(String uri) {
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }
}
