package org.spruceridge.sim;

import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;
import org.spruceridge.net.Durations;

/** A limit allows a burst as large as the requests of one second. After the burst, the limit allows only its rate. */
final class RateLimitTest {
    private double nowS;
    private final RateLimit limit = new RateLimit("requests", 10, 1, () -> Durations.nanos(nowS));

    @Test
    void burstFollowedBySteadyRateIsAllowed() {
        limit.take(10);
        for (int i = 1; i <= 50; i++) {
            nowS = i * 0.11;
            limit.take(1);
        }
    }

    @Test
    void requestsFasterThanRateViolateLimit() {
        limit.take(10);
        nowS = 0.05;
        assertThrows(AssertionError.class, () -> limit.take(1));
    }
}
