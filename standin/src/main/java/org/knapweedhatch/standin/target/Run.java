package org.knapweedhatch.standin.target;

/**
 * A request that a target ran.
 *
 * @param requestId number that the system gave the request
 * @param path path with its query
 * @param idempotencyKey the caller's name for the operation; empty where it gave none
 * @param keySeen whether the caller's key reached the target
 * @param overSlots whether more requests than slots ran at that moment
 */
public record Run(String requestId, String path, String idempotencyKey, boolean keySeen, boolean overSlots) {}
