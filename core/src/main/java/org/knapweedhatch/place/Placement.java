package org.knapweedhatch.place;

import java.time.Duration;
import org.knapweedhatch.target.KnownTarget;

/** Where a request goes. */
public sealed interface Placement {

    /** To a target; its end must be told to the placer. */
    record Sent(KnownTarget target) implements Placement {}

    /** Nowhere now; a place is likely after some time. */
    record Refused(Duration retryAfter) implements Placement {}
}
