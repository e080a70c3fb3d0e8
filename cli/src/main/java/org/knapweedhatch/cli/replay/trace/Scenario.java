package org.knapweedhatch.cli.replay.trace;

import java.util.List;

/** The kinds of traces that can be generated for a deployment. */
public enum Scenario {
    /** Every team at half its rate, mostly in its own region. */
    ORDINARY_DAY {
        @Override
        void play(ScenarioBuilder on) {
            on.everyTeam(0.5)
                    .atMost(Measure.REFUSED_WITHIN_RATE_SHARE, "", 0.001)
                    .atMost(Measure.UNKNOWN, "", 0);
        }
    },
    /** One region sends most of the traffic, in bursts over the rates. */
    RUSH {
        @Override
        void play(ScenarioBuilder on) {
            on.everyTeam(0.4)
                    .rush(0, 0.5, 0.3, 0.3)
                    .atMost(Measure.REFUSED_WITHIN_RATE_SHARE, "", 0.01)
                    .atMost(Measure.UNKNOWN, "", 0);
        }
    },
    /** One team sends five times its rate beside the others. */
    NOISY_TEAM {
        @Override
        void play(ScenarioBuilder on) {
            on.everyTeam(0.5)
                    .noisy("team-4", 4.5)
                    .atMost(Measure.REFUSED_WITHIN_RATE_SHARE, "team-1", 0)
                    .atMost(Measure.REFUSED_WITHIN_RATE_SHARE, "team-5", 0)
                    .atMost(Measure.REFUSED_WITHIN_RATE_SHARE, "team-7", 0);
        }
    },
    /** A region is drained as planned. */
    REGION_DRAIN {
        @Override
        void play(ScenarioBuilder on) {
            on.everyTeam(0.3)
                    .release(0.4, "operator-1", Change.of(Change.Action.DRAIN_REGION, on.region(1)))
                    .atMost(Measure.REFUSED_WITHIN_RATE_SHARE, "", 0)
                    .atMost(Measure.UNKNOWN, "", 0)
                    .atMost(Measure.DRAIN_MS, "", 8000)
                    .atLeast(Measure.CONFIGURATION, "", 2);
        }
    },
    /** A region fails whole and comes back. */
    REGION_LOST {
        @Override
        void play(ScenarioBuilder on) {
            on.everyTeam(0.3).fault(0.4, 0.3, FaultKind.REGION_LOST, on.region(1));
        }
    },
    /** A failure domain is cut off from the others and from the platform. */
    PARTITION {
        @Override
        void play(ScenarioBuilder on) {
            on.everyTeam(0.3)
                    .fault(0.1, 0.8, FaultKind.DOMAIN_CUT, on.domain(1))
                    .atMost(Measure.REFUSED_WITHIN_RATE_SHARE, "", 0.001);
        }
    },
    /** The platform is down, then loses answers. */
    PLATFORM_OUTAGE {
        @Override
        void play(ScenarioBuilder on) {
            on.everyTeam(0.5)
                    .fault(0.2, 0.4, FaultKind.PLATFORM_DOWN, "")
                    .fault(0.6, 0.2, FaultKind.PLATFORM_LOSES_ANSWERS, "")
                    .fault(0.65, 0.1, FaultKind.HOST_RESTART, on.host(4));
        }
    },
    /** Hosts stand still for longer than their leases and wake. */
    PAUSES {
        @Override
        void play(ScenarioBuilder on) {
            on.everyTeam(0.5)
                    .fault(0.2, 0.2, FaultKind.HOST_PAUSE, on.host(1))
                    .fault(0.5, 0.2, FaultKind.HOST_PAUSE, on.host(5));
        }
    },
    /** A key is withdrawn while its callers go on. */
    KEY_WITHDRAWN {
        @Override
        void play(ScenarioBuilder on) {
            on.everyTeam(0.5)
                    .release(0.5, "operator-1", Change.of(Change.Action.WITHDRAW_KEY, "key-team-2"))
                    .atMost(Measure.REFUSED_WITHIN_RATE_SHARE, "", 0.001)
                    .atLeast(Measure.CONFIGURATION, "", 2);
        }
    },
    /** Two operators send conflicting notes at the same moment. */
    OPERATORS_RACING {
        @Override
        void play(ScenarioBuilder on) {
            on.everyTeam(0.4)
                    .release(0.5, "operator-1", new Change(Change.Action.CHANGE_TEAM, "team-1", 500, 200))
                    .release(0.5, "operator-2", new Change(Change.Action.CHANGE_TEAM, "team-1", 400, 100))
                    .atLeast(Measure.CONFIGURATION, "", 2)
                    .atMost(Measure.CONFIGURATION, "", 2);
        }
    },
    /** The platform is down while a host dies and is replaced. */
    OUTAGE_AND_CRASH {
        @Override
        void play(ScenarioBuilder on) {
            on.everyTeam(0.4)
                    .fault(0.2, 0.6, FaultKind.PLATFORM_DOWN, "")
                    .fault(0.4, 0.2, FaultKind.HOST_RESTART, on.host(2));
        }
    },
    /** A failure domain is cut off while one of its hosts stands still. */
    PARTITION_AND_PAUSE {
        @Override
        void play(ScenarioBuilder on) {
            on.everyTeam(0.3)
                    .fault(0.1, 0.7, FaultKind.DOMAIN_CUT, on.domain(0))
                    .fault(0.3, 0.3, FaultKind.HOST_PAUSE, on.host(1));
        }
    },
    /** A rush in one region while another region is lost. */
    RUSH_AND_REGION_LOST {
        @Override
        void play(ScenarioBuilder on) {
            on.everyTeam(0.3).rush(0, 0.5, 0.3, 0.3).fault(0.4, 0.4, FaultKind.REGION_LOST, on.region(2));
        }
    },
    /** A region is drained while the platform loses answers. */
    DRAIN_AND_LOST_ANSWERS {
        @Override
        void play(ScenarioBuilder on) {
            on.everyTeam(0.3)
                    .fault(0.3, 0.4, FaultKind.PLATFORM_LOSES_ANSWERS, "")
                    .release(0.4, "operator-1", Change.of(Change.Action.DRAIN_REGION, on.region(1)))
                    .atMost(Measure.UNKNOWN, "", 0)
                    .atMost(Measure.DRAIN_MS, "", 8000)
                    .atLeast(Measure.CONFIGURATION, "", 2);
        }
    },
    /** A key is withdrawn while a host stands still, which wakes later. */
    KEY_WITHDRAWN_AND_PAUSE {
        @Override
        void play(ScenarioBuilder on) {
            on.everyTeam(0.4)
                    .fault(0.3, 0.4, FaultKind.HOST_PAUSE, on.host(3))
                    .release(0.4, "operator-1", Change.of(Change.Action.WITHDRAW_KEY, "key-team-1"));
        }
    };

    abstract void play(ScenarioBuilder on);

    /** Returns a trace of this kind that lasts some seconds, its load multiplied by {@code scale}. */
    public Trace trace(Deployment deployment, long seed, long seconds, double scale) {
        ScenarioBuilder builder = new ScenarioBuilder(this, deployment, seed, seconds, scale);
        play(builder);
        return builder.build();
    }

    /** Returns the kinds that bring about two failures at once. */
    public static List<Scenario> pairs() {
        return List.of(
                OUTAGE_AND_CRASH,
                PARTITION_AND_PAUSE,
                RUSH_AND_REGION_LOST,
                DRAIN_AND_LOST_ANSWERS,
                KEY_WITHDRAWN_AND_PAUSE);
    }
}
