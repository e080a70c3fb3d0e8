package org.knapweedhatch.message;

import org.knapweedhatch.helper.Validate;

/**
 * The header names of a deployment, by purpose.
 *
 * @param requestId unique id of one attempt of a caller, which targets echo in their responses
 * @param deadlineMs milliseconds for which the caller, or the host that calls a target, still waits
 * @param key key of the caller's team; never forwarded by the host
 * @param team name of the key's team, set by hosts for targets
 * @param affinity name of the object that the request concerns, for affinity to a target
 * @param expectedTarget name of the one target that may run the request
 * @param notRun present if the target states that it did not run the request
 * @param targetName name of the responding target, on health checks and misdirected requests
 * @param load running requests, waiting requests and slots of a target, and in some deployments how long work takes
 *     there in percent of the usual time, separated by commas
 * @param coldMs milliseconds for which a target stays cold, on health checks
 * @param signature a target's signature of its response, forwarded unchanged
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

    /** Checks that every name is set. */
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

    /** Returns the project's own header names, which its stand-in services use. */
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
