package org.knapweedhatch.limit;

import java.time.Duration;

/** A fault or planned change that befalls a fleet of nine hosts for a minute. */
enum Disturbance {
    CRASH {
        @Override
        void begin(Fleet fleet) {
            fleet.kill("h0");
        }
    },
    RESTART {
        @Override
        void begin(Fleet fleet) {
            fleet.restart("h1");
        }
    },
    REPLACE {
        @Override
        void begin(Fleet fleet) {
            fleet.kill("h2");
            fleet.start("h2b", "r2", "r2d0", fleet.drift());
        }
    },
    PAUSE {
        @Override
        void begin(Fleet fleet) {
            fleet.pause("h3", Duration.ofSeconds(30));
        }
    },
    CUT_OFF_DOMAIN {
        @Override
        void begin(Fleet fleet) {
            fleet.side(1, fleet.domain("r0d0"));
        }

        @Override
        void end(Fleet fleet) {
            fleet.heal();
        }
    },
    ISOLATED_HOST {
        @Override
        void begin(Fleet fleet) {
            fleet.side(2, "h4");
        }

        @Override
        void end(Fleet fleet) {
            fleet.heal();
        }
    },
    PLATFORM_OUTAGE {
        @Override
        void begin(Fleet fleet) {
            fleet.store.down = true;
        }

        @Override
        void end(Fleet fleet) {
            fleet.store.down = false;
        }
    },
    UNSURE_PLATFORM {
        @Override
        void begin(Fleet fleet) {
            fleet.store.lostAnswers = 0.5;
            fleet.store.staleReads = 0.5;
        }

        @Override
        void end(Fleet fleet) {
            fleet.store.lostAnswers = 0;
            fleet.store.staleReads = 0;
        }
    },
    BAD_NETWORK {
        @Override
        void begin(Fleet fleet) {
            fleet.loss = 0.3;
            fleet.duplicates = 0.3;
            fleet.slow = 0.2;
        }

        @Override
        void end(Fleet fleet) {
            fleet.loss = 0;
            fleet.duplicates = 0;
            fleet.slow = 0;
        }
    },
    LEAVE {
        @Override
        void begin(Fleet fleet) {
            fleet.leave("h5");
        }

        @Override
        void end(Fleet fleet) {
            fleet.kill("h5");
        }
    },
    REPLACEMENTS {
        @Override
        void begin(Fleet fleet) {
            for (int i = 0; i < 9; i++) {
                String name = "h" + i;
                fleet.at(fleet.now + i * 6 * Fleet.SECOND, () -> fleet.restart(name));
            }
        }
    };

    abstract void begin(Fleet fleet);

    void end(Fleet fleet) {}
}
