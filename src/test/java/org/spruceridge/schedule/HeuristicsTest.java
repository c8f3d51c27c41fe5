package org.spruceridge.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.spruceridge.cluster.Binding;
import org.spruceridge.cluster.Cluster;
import org.spruceridge.cluster.Job;
import org.spruceridge.cluster.JobKind;
import org.spruceridge.cluster.JobPriority;
import org.spruceridge.cluster.Machine;
import org.spruceridge.cluster.MachineKind;
import org.spruceridge.cluster.Resources;
import org.spruceridge.config.Policy;
import org.spruceridge.sim.Fixtures;

/**
 * Compares the terms of the score with values computed by hand. The expected values come from the equations of the
 * paper "Convergent Scheduling 2.0" or, for the terms that are additions to the paper, from their definitions.
 */
final class HeuristicsTest {
    private static final MachineGroup GROUP = new MachineGroup(new MachineKind("t", "z", false), 1, 0.5);

    static Job job(int number, double estimateS, OptionalDouble deadlineS) {
        return new Job(
                Fixtures.spec("j-" + number, JobPriority.NORMAL, 4, new Resources(2, 0, 1), estimateS, 0, deadlineS),
                1,
                0);
    }

    // Equations 4 and 5. The urgency is (earliest end - latest start) / run time, limited to 0 to 1. The run time is 40
    // s in these examples. With 100 s of slack, the latest start is in 60 s and the earliest end in 40 s, so the
    // urgency is 0. With 60 s of slack, the latest start is in 20 s: (40 - 20) / 40 = 0.5. With 40 s of slack, the
    // latest start is now: (40 - 0) / 40 = 1. With 39 s of slack the deadline cannot be met, so the urgency is 1.
    @ParameterizedTest
    @CsvSource({"100, 40, 0", "80, 40, 0", "60, 40, 0.5", "50, 40, 0.75", "40, 40, 1", "39, 40, 1", "-5, 10, 1"})
    void urgencyMatchesEquations4And5(double slackS, double remainingS, double expected) {
        assertEquals(expected, Deadline.urgency(slackS, remainingS), 1e-9);
    }

    // Equation 6 without its weight: (1 - urgency) * mean urgency. The urgency is computed from the slack by equations
    // 4 and 5. The mean urgency of equation 7 is a test parameter.
    @ParameterizedTest
    @CsvSource({"60, 40, 0.5, 0.25", "100, 40, 0.4, 0.4", "39, 40, 1, 0", "50, 40, 0.75, 0.1875"})
    void deadlineTermMatchesEquation6(double slackS, double remainingS, double meanUrgency, double expected) {
        Candidate candidate = new Candidate(job(1, 40, OptionalDouble.of(100)), 0, 0, slackS);
        Heuristic.Row row = new Heuristic.Row(candidate, meanUrgency, 100);
        assertEquals(expected, new Deadline().value(row, GROUP, remainingS), 1e-9);
    }

    // Equation 8: elapsed / max(remaining, elapsed).
    @ParameterizedTest
    @CsvSource({"0, 40, 0", "10, 40, 0.25", "40, 40, 1", "90, 10, 1"})
    void overheadTermMatchesEquation8(double elapsedS, double remainingS, double expected) {
        Candidate candidate = new Candidate(job(1, 50, OptionalDouble.empty()), elapsedS, 0, 0);
        assertEquals(
                expected,
                new OverheadMinimization().value(new Heuristic.Row(candidate, 0, 100), GROUP, remainingS),
                1e-9);
    }

    // Equation 12: 1 - remaining / longest remaining.
    @ParameterizedTest
    @CsvSource({"10, 100, 0.9", "100, 100, 0", "25, 100, 0.75"})
    void waitTermMatchesEquation12(double remainingS, double longestRemainingS, double expected) {
        Candidate candidate = new Candidate(job(1, 50, OptionalDouble.empty()), 0, 0, 0);
        assertEquals(
                expected,
                new WaitMinimization().value(new Heuristic.Row(candidate, 0, longestRemainingS), GROUP, remainingS),
                1e-9);
    }

    // Equation 13: age / (age + remaining).
    @ParameterizedTest
    @CsvSource({"0, 40, 0", "40, 40, 0.5", "120, 40, 0.75"})
    void agingTermMatchesEquation13(double ageS, double remainingS, double expected) {
        Candidate candidate = new Candidate(job(1, 50, OptionalDouble.empty()), 0, ageS, 0);
        assertEquals(expected, new AntiAging().value(new Heuristic.Row(candidate, 0, 100), GROUP, remainingS), 1e-9);
    }

    // The target start delay is 240 s. The term of a job that has not started grows from 0 at 120 s to 1 at 180 s. The
    // term of a job that has started grows from 0 at 360 s to 1 at 720 s.
    @ParameterizedTest
    @CsvSource({"false, 120, 0", "false, 150, 0.5", "false, 200, 1", "true, 360, 0", "true, 540, 0.5", "true, 900, 1"})
    void starvationTermGrowsBetweenThresholds(boolean hasStarted, double ageS, double expected) {
        Job job = job(1, 50, OptionalDouble.empty());
        if (hasStarted) {
            job.markDone(0);
        }
        Candidate candidate = new Candidate(job, 0, ageS, 0);
        assertEquals(
                expected, new StarvationPrevention(240).value(new Heuristic.Row(candidate, 0, 100), GROUP, 40), 1e-9);
    }

    // The term is 0.5 + 0.5 * missing / (missing + 10) for a service, and 0 for any other job.
    @ParameterizedTest
    @CsvSource({"SERVICE, 0, 0.5", "SERVICE, 10, 0.75", "SERVICE, 90, 0.95", "ARRAY, 90, 0"})
    void availabilityTermGrowsOnlyForServices(JobKind kind, double missingS, double expected) {
        Candidate candidate = new Candidate(Fixtures.job(1, kind, 4), 0, missingS, Double.POSITIVE_INFINITY);
        assertEquals(
                expected, new ServiceAvailability(10).value(new Heuristic.Row(candidate, 0, 100), GROUP, 10), 1e-9);
    }

    // A service that lost a replica 30 s ago has an age of 30 s, regardless of its submission time, and no deadline.
    @Test
    void serviceAgeStartsWhenReplicaIsLost() {
        Cluster cluster = new Cluster();
        Job service = Fixtures.job(1, JobKind.SERVICE, 1);
        Machine machine = new Machine("i-1", "", GROUP.kind(), 0, 0);
        Binding binding = new Binding(service, 0, 1, machine, Binding.Stage.COMMITTED, 0);
        assertEquals(500, Candidate.waiting(service, 0, 500_000).ageS(), 1e-9);
        cluster.bind(binding);
        cluster.unbind(binding, 70_000_000_000L);
        Candidate missingReplica = Candidate.waiting(service, 100_000_000_000L, 500_000);
        assertEquals(30, missingReplica.ageS(), 1e-9);
        assertEquals(Double.POSITIVE_INFINITY, missingReplica.slackS());
    }

    @Test
    void remainingTimeIsAtLeastTenSeconds() {
        RemainingTimeEstimator estimator = new RemainingTimeEstimator(10);
        Job job = job(1, 40, OptionalDouble.empty());
        assertEquals(40, estimator.remainingS(new Candidate(job, 0, 0, 0)));
        assertEquals(15, estimator.remainingS(new Candidate(job, 25, 0, 0)));
        assertEquals(10, estimator.remainingS(new Candidate(job, 35, 0, 0)));
        assertEquals(10, estimator.remainingS(new Candidate(job, 400, 0, 0)));
    }

    @Test
    void entryScoreIsWeightedSumOfTerms() {
        // The urgent job has 60 s of slack, 40 s of run time and an age of 40 s. The longest run time is 80 s.
        Candidate urgent = new Candidate(job(1, 40, OptionalDouble.of(100)), 0, 40, 60);
        Candidate longer = new Candidate(job(2, 80, OptionalDouble.empty()), 0, 20, Double.POSITIVE_INFINITY);
        List<PriorityMatrix.Entry> entries = new PriorityMatrix(
                        Policy.defaults().weights(), new RemainingTimeEstimator(10), 240)
                .entries(ImmutableList.of(urgent, longer), ImmutableList.of(GROUP), (c, m) -> true, (c, m) -> true);
        // Terms of the paper: 15 * (1 - 0.5) * 0.5 + 40 * 0 + 8 * (1 - 40 / 80) + 5 * 40 / (40 + 40) = 3.75 + 0 + 4 +
        // 2.5. Added terms: 2 * (1 - 1), because there is only one price, and 3 * 0.5 for a half-full machine.
        assertEquals(11.75, entries.get(0).score(), 1e-9);
        // Terms of the paper: 15 * 0 + 40 * 0 + 8 * (1 - 80 / 80) + 5 * 20 / (20 + 80) = 1. Added terms: 3 * 0.5 as
        // above.
        assertEquals(2.5, entries.get(1).score(), 1e-9);
    }
}
