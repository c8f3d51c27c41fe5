package org.spruceridge.config;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.spruceridge.net.Durations;

/** The sums of docs/safety.md, for settings of many shapes: each way ends within {@code cancel_s}. */
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

        // A machine that is out of reach: answered last by a leader that did not know, then a lease.
        assertTrue(times.maxStalenessS() + times.fullLeaseS() < cancelS);
        // The leader hears of it from its watch well before it may answer no more.
        assertTrue(times.watchTimeoutS() > 0 && times.watchTimeoutS() < times.maxStalenessS() / 2);
        // The lease itself is never counted shorter than a worker's slowest clock has it.
        assertTrue(times.fullLeaseS() >= leaseS * (1 + Durations.MAX_CLOCK_DRIFT_RATIO));
    }

    @ParameterizedTest
    @CsvSource({"3, 22, 42", "1.5, 12, 32", "5, 22, 42", "4, 22, 42"})
    void withDeployedSettingsStopsAndDeletionsMeetTheDeadline(
            double heartbeatIntervalS, double leaseS, double cancelS) {
        CancellationTimes times = CancellationTimes.of(new Settings.Workers(heartbeatIntervalS, leaseS, cancelS));
        // A machine that is reached: the stop goes with the answer to its next report, up to a quarter late.
        assertTrue(times.maxStalenessS() + 1.25 * heartbeatIntervalS < cancelS);
        double checkIntervalS = heartbeatIntervalS / 3;
        double decidedS = Math.max(times.unprovenStopTimeoutS(), times.maxStalenessS() + times.stopProofTimeoutS())
                + checkIntervalS;
        assertTrue(cancelS - decidedS > 0.1 * cancelS, "what is left for the cloud: " + (cancelS - decidedS));
    }
}
