package org.knapweedhatch.member;

import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * An immutable snapshot of all members as one host observes them, including itself.
 *
 * <pre>{@code
 * view.member("lima-a-1").map(Member::state);
 * }</pre>
 */
public final class MembershipView {

    private final String self;
    private final Map<String, Member> members;

    private MembershipView(String self, Map<String, Member> members) {
        this.self = self;
        this.members = members;
    }

    /** Creates a view of the given members as observed by the host named {@code self}. */
    public static MembershipView of(String self, Collection<Member> members) {
        return new MembershipView(
                self, members.stream().collect(Collectors.toUnmodifiableMap(Member::name, Function.identity())));
    }

    /** Returns the name of the observing host. */
    public String self() {
        return self;
    }

    /** Returns the members by host name. */
    public Map<String, Member> members() {
        return members;
    }

    /** Returns the member with a host name; empty if there is none. */
    public Optional<Member> member(String name) {
        return Optional.ofNullable(members.get(name));
    }
}
