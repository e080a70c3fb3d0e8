package org.knapweedhatch.cli.replay;

import java.util.List;
import org.knapweedhatch.answer.Effect;
import org.knapweedhatch.key.KeyCheck;
import org.knapweedhatch.key.KeyRing;
import org.knapweedhatch.limit.Admission;
import org.knapweedhatch.limit.LimitId;
import org.knapweedhatch.limit.Limiter;
import org.knapweedhatch.world.Configuration;

/** The points at which a replay asks the decisions of a host; each passes them on unchanged. */
interface Decisions {

    /** The decisions as they are. */
    Decisions REAL = new Decisions() {};

    /** Returns whether a limit admits one more request. */
    default Admission admit(Limiter limiter, LimitId limit, boolean again) {
        return again ? limiter.admitAgain(limit, 1) : limiter.admit(limit, 1);
    }

    /** Returns what a key is worth. */
    default KeyCheck check(KeyRing ring, String shown) {
        return ring.check(shown);
    }

    /** Returns what the answering of requests wants done. */
    default List<Effect> effects(List<Effect> effects) {
        return effects;
    }

    /** Returns the configurations that come into force, one after the other. */
    default List<Configuration> inForce(Configuration before, Configuration next) {
        return List.of(next);
    }
}
