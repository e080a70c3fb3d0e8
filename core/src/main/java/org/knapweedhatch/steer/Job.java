package org.knapweedhatch.steer;

import java.util.HashSet;
import java.util.Set;
import org.knapweedhatch.helper.Validate;

/**
 * What steering needs to know of one request.
 *
 * @param request number of the request at this host
 * @param service service that runs it
 * @param team team of its key, or the name of the open route
 * @param origin region where it arose
 * @param deadlineNanos monotonic reading by which its answer must be there
 * @param bytesOut bytes of the request, as far as known
 * @param bytesBack bytes of the answer, as expected
 * @param sender region of the host that relayed it here, where it stays; empty where it came from a caller
 * @param tried targets and hosts that are not to be tried again
 * @param charged regions whose shift cap it has already been counted against
 */
public record Job(
        long request,
        String service,
        String team,
        String origin,
        long deadlineNanos,
        long bytesOut,
        long bytesBack,
        String sender,
        Set<String> tried,
        Set<String> charged) {

    /** Checks what must be there. */
    public Job {
        Validate.notEmpty(service, "service");
        Validate.notEmpty(team, "team");
        Validate.notEmpty(origin, "origin");
        Validate.notNegative(bytesOut, "bytesOut");
        Validate.notNegative(bytesBack, "bytesBack");
        Validate.notNull(sender, "sender");
        tried = Set.copyOf(tried);
        charged = Set.copyOf(charged);
    }

    /** Returns whether another host sent it here. */
    public boolean relayed() {
        return !sender.isEmpty();
    }

    /** Returns this job with one more place that is not to be tried again. */
    public Job without(String place) {
        return new Job(
                request,
                service,
                team,
                origin,
                deadlineNanos,
                bytesOut,
                bytesBack,
                sender,
                plus(tried, place),
                charged);
    }

    /** Returns this job as counted for being served in a region. */
    public Job chargedFor(String region) {
        if (origin.equals(region) || charged.contains(region)) {
            return this;
        }
        return new Job(
                request,
                service,
                team,
                origin,
                deadlineNanos,
                bytesOut,
                bytesBack,
                sender,
                tried,
                plus(charged, region));
    }

    private static Set<String> plus(Set<String> set, String one) {
        Set<String> more = new HashSet<>(set);
        more.add(one);
        return more;
    }
}
