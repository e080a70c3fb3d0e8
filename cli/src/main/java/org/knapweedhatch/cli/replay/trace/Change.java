package org.knapweedhatch.cli.replay.trace;

import org.knapweedhatch.helper.Validate;
import org.knapweedhatch.world.ApiKey;
import org.knapweedhatch.world.Configuration;
import org.knapweedhatch.world.Drain;
import org.knapweedhatch.world.RateLimit;
import org.knapweedhatch.world.Team;

/**
 * What the release notes of a trace declare: one thing each.
 *
 * @param action what is done
 * @param name name of the thing
 * @param rate new rate of a team; 0 elsewhere
 * @param burst new burst of a team; 0 elsewhere
 */
public record Change(Action action, String name, double rate, long burst) {

    /** What a release note of a trace can do. */
    public enum Action {
        WITHDRAW_KEY {
            @Override
            void apply(Change change, Configuration.Builder builder) {
                builder.remove(ApiKey.class, change.name());
            }
        },
        CHANGE_TEAM {
            @Override
            void apply(Change change, Configuration.Builder builder) {
                builder.team(new Team(change.name(), new RateLimit(change.rate(), change.burst())));
            }
        },
        DRAIN_TARGET {
            @Override
            void apply(Change change, Configuration.Builder builder) {
                builder.drain(new Drain(Drain.Kind.TARGET, change.name()));
            }
        },
        DRAIN_HOST {
            @Override
            void apply(Change change, Configuration.Builder builder) {
                builder.drain(new Drain(Drain.Kind.HOST, change.name()));
            }
        },
        DRAIN_DOMAIN {
            @Override
            void apply(Change change, Configuration.Builder builder) {
                builder.drain(new Drain(Drain.Kind.DOMAIN, change.name()));
            }
        },
        DRAIN_REGION {
            @Override
            void apply(Change change, Configuration.Builder builder) {
                builder.drain(new Drain(Drain.Kind.REGION, change.name()));
            }
        },
        END_DRAIN_REGION {
            @Override
            void apply(Change change, Configuration.Builder builder) {
                builder.removeDrain(new Drain(Drain.Kind.REGION, change.name()));
            }
        };

        abstract void apply(Change change, Configuration.Builder builder);
    }

    public Change {
        Validate.notNull(action, "action");
        Validate.notEmpty(name, "name");
        Validate.isTrue(action != Action.CHANGE_TEAM || (rate > 0 && burst > 0), "a team needs a rate and a burst");
    }

    /** Returns a change without figures. */
    public static Change of(Action action, String name) {
        return new Change(action, name, 0, 0);
    }

    /** Returns the configuration that follows from another by this change. */
    public Configuration applyTo(Configuration base) {
        Configuration.Builder builder = base.toBuilder();
        action.apply(this, builder);
        return builder.build(base.number() + 1);
    }
}
