package org.spruceridge.config;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.spruceridge.net.Durations;

/** The sums of docs/safety.md for many settings: each path of a cancellation ends within {@code cancel_s}. */
final class CancellationTimesTest {
    @ParameterizedTest
    @CsvSource({
        "3, 22, 42",
        "1.5, 12, 32",
        "5, 22, 42",
        "4, 22, 42",
        "2, 14, 30",
        "0.5, 4, 8",
        "10, 60, 70",
        "1, 5, 120",
        "2, 30, 32"
    })
    void everyCancellationPathEndsBeforeTheDeadline(double heartbeatIntervalS, double leaseS, double cancelS) {
        CancellationTimes times = CancellationTimes.of(new Settings.Workers(heartbeatIntervalS, leaseS, cancelS));

        // A machine that is unreachable: last answered by a leader that did not know the cancellation, then one lease.
        assertTrue(times.maxStalenessS() + times.fullLeaseS() < cancelS);
        // The leader receives the cancellation from its watch well before its view becomes too old.
        assertTrue(times.watchTimeoutS() > 0 && times.watchTimeoutS() < times.maxStalenessS() / 2);
        // The lease is never counted shorter than it is on the slowest clock of a worker.
        assertTrue(times.fullLeaseS() >= leaseS * (1 + Durations.MAX_CLOCK_DRIFT_RATIO));
    }

    @ParameterizedTest
    @CsvSource({"3, 22, 42", "1.5, 12, 32", "5, 22, 42", "4, 22, 42"})
    void withDeployedSettingsStopsAndDeletionsMeetTheDeadline(
            double heartbeatIntervalS, double leaseS, double cancelS) {
        CancellationTimes times = CancellationTimes.of(new Settings.Workers(heartbeatIntervalS, leaseS, cancelS));
        // A machine that is reachable: the stop is in the answer to its next heartbeat, up to a quarter late.
        assertTrue(times.maxStalenessS() + 1.25 * heartbeatIntervalS < cancelS);
        double checkIntervalS = heartbeatIntervalS / 3;
        double decidedS = Math.max(times.unprovenStopTimeoutS(), times.maxStalenessS() + times.stopProofTimeoutS())
                + checkIntervalS;
        assertTrue(cancelS - decidedS > 0.1 * cancelS, "what is left for the cloud: " + (cancelS - decidedS));
    }
}
