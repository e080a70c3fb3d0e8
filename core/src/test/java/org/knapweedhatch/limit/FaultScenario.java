package org.knapweedhatch.limit;

import java.time.Duration;

/** A fault or planned change that a test begins, and may end, in a simulated fleet of nine hosts. */
enum FaultScenario {
    CRASH {
        @Override
        void begin(SimulatedFleet fleet) {
            fleet.kill("h0");
        }
    },
    RESTART {
        @Override
        void begin(SimulatedFleet fleet) {
            fleet.restart("h1");
        }
    },
    REPLACE {
        @Override
        void begin(SimulatedFleet fleet) {
            fleet.kill("h2");
            fleet.start("h2b", "r2", "r2d0", fleet.drift());
        }
    },
    PAUSE {
        @Override
        void begin(SimulatedFleet fleet) {
            fleet.pause("h3", Duration.ofSeconds(30));
        }
    },
    CUT_OFF_DOMAIN {
        @Override
        void begin(SimulatedFleet fleet) {
            fleet.partition(1, fleet.domain("r0d0"));
        }

        @Override
        void end(SimulatedFleet fleet) {
            fleet.heal();
        }
    },
    ISOLATED_HOST {
        @Override
        void begin(SimulatedFleet fleet) {
            fleet.partition(2, "h4");
        }

        @Override
        void end(SimulatedFleet fleet) {
            fleet.heal();
        }
    },
    PLATFORM_OUTAGE {
        @Override
        void begin(SimulatedFleet fleet) {
            fleet.store.down = true;
        }

        @Override
        void end(SimulatedFleet fleet) {
            fleet.store.down = false;
        }
    },
    UNSURE_PLATFORM {
        @Override
        void begin(SimulatedFleet fleet) {
            fleet.store.lostAnswerRate = 0.5;
            fleet.store.staleReadRate = 0.5;
        }

        @Override
        void end(SimulatedFleet fleet) {
            fleet.store.lostAnswerRate = 0;
            fleet.store.staleReadRate = 0;
        }
    },
    BAD_NETWORK {
        @Override
        void begin(SimulatedFleet fleet) {
            fleet.lossRate = 0.3;
            fleet.duplicateRate = 0.3;
            fleet.slowFraction = 0.2;
        }

        @Override
        void end(SimulatedFleet fleet) {
            fleet.lossRate = 0;
            fleet.duplicateRate = 0;
            fleet.slowFraction = 0;
        }
    },
    LEAVE {
        @Override
        void begin(SimulatedFleet fleet) {
            fleet.leave("h5");
        }

        @Override
        void end(SimulatedFleet fleet) {
            fleet.kill("h5");
        }
    },
    REPLACEMENTS {
        @Override
        void begin(SimulatedFleet fleet) {
            for (int i = 0; i < 9; i++) {
                String name = "h" + i;
                fleet.schedule(fleet.now + i * 6 * SimulatedFleet.SECOND, () -> fleet.restart(name));
            }
        }
    };

    abstract void begin(SimulatedFleet fleet);

    void end(SimulatedFleet fleet) {}
}
