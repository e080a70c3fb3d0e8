package org.knapweedhatch.front;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * The whole answer of a target; whoever holds it releases the body.
 *
 * @param status status of the answer
 * @param headers headers as the target sent them
 * @param body the whole body
 */
record TargetResponse(HttpResponseStatus status, HttpHeaders headers, ByteBuf body) {}
