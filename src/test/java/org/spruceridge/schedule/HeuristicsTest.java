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

/** The document's equations against values worked out by hand. */
final class HeuristicsTest {
    private static final MachineGroup COLUMN = new MachineGroup(new MachineKind("t", "z", false), 1, 0.5);

    static Job job(int number, double estimateS, OptionalDouble deadlineS) {
        return new Job(
                Fixtures.spec("j-" + number, JobPriority.NORMAL, 4, new Resources(2, 0, 1), estimateS, 0, deadlineS),
                1,
                0);
    }

    // Equations 4 and 5. With 100 s of slack and 40 s to run, the last start is 60 s away and the end 40 s: 0.
    // With 60 s: last 20, end 40, (40 - 20) / 40 = 0.5. With 40 s: last 0, end 40, 40 / 40 = 1. With 39: over, 1.
    @ParameterizedTest
    @CsvSource({"100, 40, 0", "80, 40, 0", "60, 40, 0.5", "50, 40, 0.75", "40, 40, 1", "39, 40, 1", "-5, 10, 1"})
    void urgency(double slackS, double remainingS, double expected) {
        assertEquals(expected, Deadline.urgency(slackS, remainingS), 1e-9);
    }

    // Equation 6, divided by its weight: (1 - f) * F, with F of equation 7 handed in.
    @ParameterizedTest
    @CsvSource({"60, 40, 0.5, 0.25", "100, 40, 0.4, 0.4", "39, 40, 1, 0", "50, 40, 0.75, 0.1875"})
    void deadline(double slackS, double remainingS, double meanUrgency, double expected) {
        Candidate c = new Candidate(job(1, 40, OptionalDouble.of(100)), 0, 0, slackS);
        Heuristic.Row row = new Heuristic.Row(c, meanUrgency, 100);
        assertEquals(expected, new Deadline().value(row, COLUMN, remainingS), 1e-9);
    }

    // Equation 8: elapsed / max(remaining, elapsed).
    @ParameterizedTest
    @CsvSource({"0, 40, 0", "10, 40, 0.25", "40, 40, 1", "90, 10, 1"})
    void overhead(double elapsedS, double remainingS, double expected) {
        Candidate c = new Candidate(job(1, 50, OptionalDouble.empty()), elapsedS, 0, 0);
        assertEquals(
                expected, new OverheadMinimization().value(new Heuristic.Row(c, 0, 100), COLUMN, remainingS), 1e-9);
    }

    // Equation 12: 1 - remaining / longest remaining.
    @ParameterizedTest
    @CsvSource({"10, 100, 0.9", "100, 100, 0", "25, 100, 0.75"})
    void waiting(double remainingS, double longestS, double expected) {
        Candidate c = new Candidate(job(1, 50, OptionalDouble.empty()), 0, 0, 0);
        assertEquals(
                expected, new WaitMinimization().value(new Heuristic.Row(c, 0, longestS), COLUMN, remainingS), 1e-9);
    }

    // Equation 13: age / (age + remaining).
    @ParameterizedTest
    @CsvSource({"0, 40, 0", "40, 40, 0.5", "120, 40, 0.75"})
    void aging(double ageS, double remainingS, double expected) {
        Candidate c = new Candidate(job(1, 50, OptionalDouble.empty()), 0, ageS, 0);
        assertEquals(expected, new AntiAging().value(new Heuristic.Row(c, 0, 100), COLUMN, remainingS), 1e-9);
    }

    // Every job should have begun within 240 s: 0 until half of that, 1 from three quarters on; begun, from 360 to 720
    // s.
    @ParameterizedTest
    @CsvSource({"false, 120, 0", "false, 150, 0.5", "false, 200, 1", "true, 360, 0", "true, 540, 0.5", "true, 900, 1"})
    void starvation(boolean begun, double ageS, double expected) {
        Job job = job(1, 50, OptionalDouble.empty());
        if (begun) {
            job.markDone(0);
        }
        Candidate c = new Candidate(job, 0, ageS, 0);
        assertEquals(expected, new StarvationPrevention(240).value(new Heuristic.Row(c, 0, 100), COLUMN, 40), 1e-9);
    }

    // Of a service 0.5 + 0.5 * missing / (missing + 10), of any other job 0.
    @ParameterizedTest
    @CsvSource({"SERVICE, 0, 0.5", "SERVICE, 10, 0.75", "SERVICE, 90, 0.95", "ARRAY, 90, 0"})
    void availability(JobKind kind, double missingS, double expected) {
        Candidate c = new Candidate(Fixtures.job(1, kind, 4), 0, missingS, Double.POSITIVE_INFINITY);
        assertEquals(expected, new ServiceAvailability(10).value(new Heuristic.Row(c, 0, 100), COLUMN, 10), 1e-9);
    }

    // A service of which a replica was lost 30 s ago has that age, whenever it was submitted; it has no deadline.
    @Test
    void theAgeOfAServiceIsThatOfItsGap() {
        Cluster cluster = new Cluster();
        Job service = Fixtures.job(1, JobKind.SERVICE, 1);
        Machine machine = new Machine("i-1", "", COLUMN.kind(), 0, 0);
        Binding b = new Binding(service, 0, 1, machine, Binding.Stage.COMMITTED, 0);
        assertEquals(500, Candidate.waiting(service, 0, 500_000).ageS(), 1e-9);
        cluster.bind(b);
        cluster.unbind(b, 70_000_000_000L);
        Candidate gap = Candidate.waiting(service, 100_000_000_000L, 500_000);
        assertEquals(30, gap.ageS(), 1e-9);
        assertEquals(Double.POSITIVE_INFINITY, gap.slackS());
    }

    @Test
    void remainingTimeIsFlooredAtTenSeconds() {
        Estimates estimates = new Estimates(10);
        Job job = job(1, 40, OptionalDouble.empty());
        assertEquals(40, estimates.remainingS(new Candidate(job, 0, 0, 0)));
        assertEquals(15, estimates.remainingS(new Candidate(job, 25, 0, 0)));
        assertEquals(10, estimates.remainingS(new Candidate(job, 35, 0, 0)));
        assertEquals(10, estimates.remainingS(new Candidate(job, 400, 0, 0)));
    }

    @Test
    void theSumOfAllTermsWithTheDocumentsWeights() {
        // One waits with 60 s of slack, 40 s to run and an age of 40 s; one of 80 s to run makes the longest.
        Candidate pressing = new Candidate(job(1, 40, OptionalDouble.of(100)), 0, 40, 60);
        Candidate longer = new Candidate(job(2, 80, OptionalDouble.empty()), 0, 20, Double.POSITIVE_INFINITY);
        List<PriorityMatrix.Entry> entries = new PriorityMatrix(
                        Policy.defaults().weights(), new Estimates(10), 240)
                .entries(ImmutableList.of(pressing, longer), ImmutableList.of(COLUMN), (c, m) -> true, (c, m) -> true);
        // 15 * (1 - 0.5) * 0.5 + 40 * 0 + 8 * (1 - 40 / 80) + 5 * 40 / (40 + 40) = 3.75 + 4 + 2.5
        // and, of ours, 2 * (1 - 1) for the one price there is + 3 * 0.5 for a machine half full.
        assertEquals(11.75, entries.get(0).score(), 1e-9);
        // 15 * 0 + 40 * 0 + 8 * (1 - 80 / 80) + 5 * 20 / (20 + 80) = 1
        assertEquals(2.5, entries.get(1).score(), 1e-9);
    }
}
