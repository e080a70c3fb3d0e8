package org.knapweedhatch.message;

import org.knapweedhatch.helper.Validate;

/**
 * The names that the headers of a deployment have, by what they hold.
 *
 * @param requestId unique id of one try of a caller, which targets echo in their answers
 * @param deadlineMs milliseconds that the caller, or a host towards a target, still waits
 * @param key key of the caller's team; never leaves the host
 * @param team name of the key's team, set by hosts for targets
 * @param affinity name of the object that a request concerns
 * @param expectedTarget name of the one target that may run the request
 * @param notRun present where a target states that it did not run the request
 * @param targetName name of the target that answers, on health checks and misdirected requests
 * @param load running requests, waiting requests and slots of a target, separated by commas
 * @param coldMs milliseconds for which a target stays cold, on health checks
 * @param signature a target's mark on its answer, passed on unchanged
 */
public record HeaderScheme(
        String requestId,
        String deadlineMs,
        String key,
        String team,
        String affinity,
        String expectedTarget,
        String notRun,
        String targetName,
        String load,
        String coldMs,
        String signature) {

    /** Checks that every header has a name. */
    public HeaderScheme {
        Validate.notEmpty(requestId, "requestId");
        Validate.notEmpty(deadlineMs, "deadlineMs");
        Validate.notEmpty(key, "key");
        Validate.notEmpty(team, "team");
        Validate.notEmpty(affinity, "affinity");
        Validate.notEmpty(expectedTarget, "expectedTarget");
        Validate.notEmpty(notRun, "notRun");
        Validate.notEmpty(targetName, "targetName");
        Validate.notEmpty(load, "load");
        Validate.notEmpty(coldMs, "coldMs");
        Validate.notEmpty(signature, "signature");
    }

    /** Returns the names under which the product's own stand-ins speak. */
    public static HeaderScheme defaults() {
        return new HeaderScheme(
                HeaderNames.REQUEST_ID,
                HeaderNames.DEADLINE_MS,
                HeaderNames.KEY,
                HeaderNames.TEAM,
                "Knapweedhatch-Object",
                "Knapweedhatch-Expected-Target",
                "Knapweedhatch-Not-Run",
                "Knapweedhatch-Target",
                HeaderNames.LOAD,
                "Knapweedhatch-Cold-Ms",
                "Knapweedhatch-Signature");
    }
}
