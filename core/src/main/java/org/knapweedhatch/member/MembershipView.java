package org.knapweedhatch.member;

import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * The hosts as one host sees them at one moment, itself included.
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

    /** Creates a view of some members as seen by the host named {@code self}. */
    public static MembershipView of(String self, Collection<Member> members) {
        return new MembershipView(
                self, members.stream().collect(Collectors.toUnmodifiableMap(Member::name, Function.identity())));
    }

    /** Returns the name of the host whose view this is. */
    public String self() {
        return self;
    }

    /** Returns the members by name. */
    public Map<String, Member> members() {
        return members;
    }

    /** Returns the member with a name. */
    public Optional<Member> member(String name) {
        return Optional.ofNullable(members.get(name));
    }
}
