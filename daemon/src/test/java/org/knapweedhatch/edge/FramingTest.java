package org.knapweedhatch.edge;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class FramingTest {

    private static final String HEAD = "POST /orders/1 HTTP/1.1\r\nHost: h\r\nKnapweedhatch-Key: secret-key-1\r\n";

    private EdgeFixture host;

    @BeforeEach
    void start() {
        host = EdgeFixture.withTargets(1);
    }

    @AfterEach
    void stop() {
        host.close();
    }

    @Test
    void wellFramedRequestIsAnswered() throws IOException {
        String answer = host.raw(HEAD + "Connection: close\r\nContent-Length: 5\r\n\r\nhello");
        assertTrue(answer.startsWith("HTTP/1.1 200"), answer);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello!",
                "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n",
                "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
                "Transfer-Encoding: chunked\r\n\r\nzz\r\nhello\r\n0\r\n\r\n",
                "Content-Length: -5\r\n\r\nhello",
                "Content-Length: +5\r\n\r\nhello",
                "Content-Length: 5 5\r\n\r\nhello"
            })
    void ambiguousFramingNeverReachesATarget(String rest) throws IOException {
        String answer = host.raw(HEAD + rest + "GET /orders/smuggled HTTP/1.1\r\nHost: h\r\n\r\n");
        assertFalse(answer.startsWith("HTTP/1.1 200"), answer);
        assertTrue(host.runs().stream().noneMatch(run -> run.path().contains("smuggled")));
    }

    @Test
    void shortBodyNeverLooksWholeToTheTarget() throws IOException {
        host.raw(HEAD + "Content-Length: 100000\r\n\r\nonly this");
        assertTrue(host.runs().size() <= 1);
    }
}
