package org.knapweedhatch.front;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * A request as it is sent to a target.
 *
 * @param id request id that the response of the target must echo; empty if the caller sent none
 * @param method HTTP method
 * @param uri path and query as the caller sent them
 * @param headers headers to send
 * @param body the complete body; the caller's request keeps the ownership
 */
record TargetRequest(String id, HttpMethod method, String uri, HttpHeaders headers, ByteBuf body) {}
