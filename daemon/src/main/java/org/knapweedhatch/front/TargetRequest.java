package org.knapweedhatch.front;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * A request as it goes to a target.
 *
 * @param id id that the target's answer must echo; empty where the caller's request has none
 * @param method method of the request
 * @param uri path and query as the caller sent them
 * @param headers headers for the target
 * @param body the whole body, which the request goes on owning
 */
record TargetRequest(String id, HttpMethod method, String uri, HttpHeaders headers, ByteBuf body) {}
