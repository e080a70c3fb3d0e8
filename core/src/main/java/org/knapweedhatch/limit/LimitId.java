package org.knapweedhatch.limit;

import org.knapweedhatch.helper.Validate;

/**
 * Identifies one limit.
 *
 * @param kind what is limited
 * @param name name of the team, or of the link such as {@code lima->trujillo}
 */
public record LimitId(Kind kind, String name) {

    /** The kind of a limit. */
    public enum Kind {
        /** Requests of a team; every host may own a share. */
        TEAM {
            @Override
            String pool(String name) {
                return Split.GLOBAL_POOL;
            }
        },
        /** Bytes sent from one region to another; only hosts of the sending region may own a share. */
        LINK {
            @Override
            String pool(String name) {
                return name.substring(0, name.indexOf("->"));
            }
        };

        abstract String pool(String name);
    }

    public LimitId {
        Validate.notNull(kind, "kind");
        Validate.notEmpty(name, "limit name");
        Validate.isTrue(kind != Kind.LINK || name.contains("->"), "link name must have the form from->to: %s", name);
    }

    /** Returns the id of the limit on a team's requests. */
    public static LimitId team(String team) {
        return new LimitId(Kind.TEAM, team);
    }

    /** Returns the id of the limit on bytes sent from one region to another. */
    public static LimitId link(String from, String to) {
        return new LimitId(Kind.LINK, from + "->" + to);
    }

    /** Returns the name of the pool whose slices divide this limit: a region, or {@link Split#GLOBAL_POOL}. */
    String pool() {
        return kind.pool(name);
    }

    @Override
    public String toString() {
        return kind + ":" + name;
    }
}
