package org.spruceridge.config;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.spruceridge.net.Durations;

/** The sums of docs/safety.md for various settings: each path of a cancellation ends within {@code cancel_s}. */
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
    void everyCancellationPathEndsBeforeDeadline(double heartbeatIntervalS, double leaseS, double cancelS) {
        CancellationTimes times = CancellationTimes.of(new Settings.Workers(heartbeatIntervalS, leaseS, cancelS));

        // Unreachable machine: the last response comes from a leader without the cancellation, then one lease passes.
        assertTrue(times.maxStalenessS() + times.fullLeaseS() < cancelS);
        // The leader receives the cancellation from its watch well before its view exceeds the maximum staleness.
        assertTrue(times.watchTimeoutS() > 0 && times.watchTimeoutS() < times.maxStalenessS() / 2);
        // The assumed lease is not shorter than the lease on the slowest clock of a worker.
        assertTrue(times.fullLeaseS() >= leaseS * (1 + Durations.MAX_CLOCK_DRIFT_RATIO));
    }

    @ParameterizedTest
    @CsvSource({"3, 22, 42", "1.5, 12, 32", "5, 22, 42", "4, 22, 42"})
    void deployedSettingsLetStopsAndDeletionsMeetDeadline(double heartbeatIntervalS, double leaseS, double cancelS) {
        CancellationTimes times = CancellationTimes.of(new Settings.Workers(heartbeatIntervalS, leaseS, cancelS));
        // Reachable machine: the stop is in the response to its next heartbeat, which is up to a quarter interval late.
        assertTrue(times.maxStalenessS() + 1.25 * heartbeatIntervalS < cancelS);
        double checkIntervalS = heartbeatIntervalS / 3;
        double latestDeletionDecisionS =
                Math.max(times.unprovenStopTimeoutS(), times.maxStalenessS() + times.stopProofTimeoutS())
                        + checkIntervalS;
        assertTrue(
                cancelS - latestDeletionDecisionS > 0.1 * cancelS,
                "time left for the cloud in seconds: " + (cancelS - latestDeletionDecisionS));
    }
}
