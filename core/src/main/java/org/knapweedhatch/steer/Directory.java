package org.knapweedhatch.steer;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.knapweedhatch.helper.Validate;
import org.knapweedhatch.member.Member;
import org.knapweedhatch.member.MembershipView;
import org.knapweedhatch.world.Host;

/**
 * Answers callers that name their own region and failure domain which hosts to use.
 *
 * <pre>{@code
 * List<Host> hosts = Directory.of(view).hosts("lima", "lima-cercado");
 * }</pre>
 *
 * <p>Hosts of the caller's failure domain go first; those of the region join them where the domain has too few, and
 * other regions only where the own one has none.
 */
public final class Directory {

    /** How long callers may keep an answer; short, since callers learn of a lost host by nothing else. */
    public static final Duration TIME_TO_LIVE = Duration.ofSeconds(2);

    /** Hosts named at most. */
    private static final int MOST_HOSTS = 64;

    /** Hosts that an answer names at least where there are any: a caller that loses one has another to turn to. */
    private static final int FEWEST_HOSTS = 2;

    private final List<Host> serving;

    private Directory(List<Host> serving) {
        this.serving = serving;
    }

    /** Creates a directory of the hosts that take new work in a view. */
    public static Directory of(MembershipView view) {
        return new Directory(Validate.notNull(view, "view").members().values().stream()
                .filter(Member::takesWork)
                .map(Member::host)
                .sorted(Comparator.comparing(Host::name))
                .toList());
    }

    /** Returns the hosts that a caller should use; empty where none takes work. */
    public List<Host> hosts(String region, String domain) {
        List<Host> near =
                serving.stream().filter(host -> host.domain().equals(domain)).toList();
        List<Host> chosen = new ArrayList<>(near);
        if (chosen.size() < FEWEST_HOSTS) {
            serving.stream()
                    .filter(host -> host.region().equals(region) && !near.contains(host))
                    .forEach(chosen::add);
        }
        List<Host> named = chosen.isEmpty() ? serving : chosen;
        return named.subList(0, Math.min(named.size(), MOST_HOSTS));
    }
}
