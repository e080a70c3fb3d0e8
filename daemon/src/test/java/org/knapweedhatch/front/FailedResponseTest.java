package org.knapweedhatch.front;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against replacing the failure of a target by one of the host's own when a retry brings no response. */
class FailedResponseTest {

    @ParameterizedTest
    @ValueSource(strings = {"error", "error-then-shed", "error-then-drop"})
    void failureOfATargetIsPassedOnWhereTheRetryBringsNoResponse(String script) throws IOException {
        try (FrontFixture front = new FrontFixture(1)) {
            FrontFixture.Response response = front.call("GET", "/safe/" + script);
            assertEquals(500, response.status());
            assertEquals("failed", response.body());
            assertEquals(2, front.timesSent("/safe/" + script));
        }
    }
}
