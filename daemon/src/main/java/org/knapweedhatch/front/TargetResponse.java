package org.knapweedhatch.front;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * The complete response of a target; the receiver must release the body.
 *
 * @param status status of the response
 * @param headers headers as the target sent them
 * @param body the complete body
 */
record TargetResponse(HttpResponseStatus status, HttpHeaders headers, ByteBuf body) {}
