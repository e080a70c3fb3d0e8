package org.knapweedhatch.front;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;

/** Decodes responses of a target; knows that those to HEAD requests have no body, and what input is left behind one. */
final class ResponseDecoder extends HttpResponseDecoder {

    /** Longest status line in bytes; common servers send far less. */
    private static final int MAX_LINE_BYTES = 8_192;

    /** Longest head of a response in bytes; twice what callers may send. */
    private static final int MAX_HEAD_BYTES = 32_768;

    /** Largest part of a response that is decoded at once, in bytes; bounds the memory of a read. */
    private static final int MAX_CHUNK_BYTES = 16_384;

    private final TargetConnection connection;

    ResponseDecoder(TargetConnection connection) {
        super(MAX_LINE_BYTES, MAX_HEAD_BYTES, MAX_CHUNK_BYTES);
        this.connection = connection;
    }

    /** Returns the number of bytes received that belong to no message passed on so far. */
    int undecodedBytes() {
        return actualReadableBytes();
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return connection.expectsNoBody() || super.isContentAlwaysEmpty(message);
    }
}
