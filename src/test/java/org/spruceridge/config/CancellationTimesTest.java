package org.spruceridge.config;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.spruceridge.net.Durations;

/** The sums of docs/safety.md hold for various settings: each path of a cancellation ends within {@code cancel_s}. */
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

        // Unreachable machine: the last response comes from a leader that has not received the cancellation. The worker
        // then runs its tasks for one more lease.
        assertTrue(times.maxStalenessS() + times.leaseWithClockDriftS() < cancelS);
        // The leader receives the cancellation from its watch well before its view exceeds the maximum staleness.
        assertTrue(times.watchTimeoutS() > 0 && times.watchTimeoutS() < times.maxStalenessS() / 2);
        // The lease length used in calculations is at least that of a lease on the slowest worker clock allowed.
        assertTrue(times.leaseWithClockDriftS() >= leaseS * (1 + Durations.MAX_CLOCK_DRIFT_RATIO));
    }

    @ParameterizedTest
    @CsvSource({"3, 22, 42", "1.5, 12, 32", "5, 22, 42", "4, 22, 42"})
    void stopsAndDeletionsMeetDeadlineWithDeployedSettings(double heartbeatIntervalS, double leaseS, double cancelS) {
        CancellationTimes times = CancellationTimes.of(new Settings.Workers(heartbeatIntervalS, leaseS, cancelS));
        // Reachable machine: the response to the next heartbeat contains the stop command. This heartbeat is at most
        // a quarter of an interval late.
        assertTrue(times.maxStalenessS() + 1.25 * heartbeatIntervalS < cancelS);
        double checkIntervalS = heartbeatIntervalS / 3;
        double latestDeletionDecisionS =
                Math.max(times.unprovenStopTimeoutS(), times.maxStalenessS() + times.stopProofTimeoutS())
                        + checkIntervalS;
        assertTrue(
                cancelS - latestDeletionDecisionS > 0.1 * cancelS,
                "more than a tenth of the budget must be left for the cloud, but seconds left: "
                        + (cancelS - latestDeletionDecisionS));
    }
}
