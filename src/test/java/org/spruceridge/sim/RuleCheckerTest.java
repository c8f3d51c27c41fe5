package org.spruceridge.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.spruceridge.net.Durations;

/** Each clause of the stand-ins' rules fails on a simulated cluster that breaks it, and on no other. */
final class RuleCheckerTest {
    private static final String JOB = "j-000001";
    private static final String TASK = "j-000001/0";

    private double nowS;
    private final RuleChecker rules = new RuleChecker(() -> Durations.nanos(nowS), 16, 30);

    private void accepted(ObjectNode job) {
        rules.submits(job);
        rules.answered(job.path("nameId").asText(), 201, "pending");
    }

    private void cancelled(String id) {
        rules.asksToCancel(id);
        rules.answered(id, 200, "cancelled");
    }

    private static void breaks(String rule, Runnable step) {
        AssertionError e = assertThrows(AssertionError.class, step::run);
        assertEquals(rule, e.getMessage().split(":")[0], e.getMessage());
    }

    @Test
    void validHistoryViolatesNoRule() {
        accepted(SimulatedCluster.job(1, 2));
        rules.starts(TASK, "m1", "z1", true);
        rules.starts("j-000001/1", "m2", "z2", false);
        rules.leaves(TASK, "m1");
        rules.starts(TASK, "m2", "z2", false);
        rules.leaves(TASK, "m2");
        rules.completes(TASK);
        rules.leaves("j-000001/1", "m2");
        rules.completes("j-000001/1");
        rules.answered(JOB, 200, "done");
        rules.answered(JOB, 503, "");
        rules.answered(JOB, 200, "done");
        accepted(SimulatedCluster.job(2, 1));
        rules.starts("j-000002/0", "m1", "z1", true);
        cancelled("j-000002");
        nowS = 29;
        rules.watch();
        rules.leaves("j-000002/0", "m1");
        nowS = 99;
        rules.watch();
        rules.over();
    }

    @Test
    void taskOnTwoMachinesViolatesRanTwice() {
        accepted(SimulatedCluster.job(1, 1));
        rules.starts(TASK, "m1", "z1", true);
        breaks("ran_twice", () -> rules.starts(TASK, "m2", "z1", true));
    }

    @Test
    void cpusBeyondTeamLimitViolateQuota() {
        accepted(SimulatedCluster.job(1, 5));
        for (int i = 0; i < 4; i++) {
            rules.starts(JOB + "/" + i, "m" + i, "z1", true);
        }
        breaks("quota", () -> rules.starts(JOB + "/4", "m4", "z1", true));
    }

    @Test
    void taskInForbiddenZoneOrKindViolatesWrongPlace() {
        accepted(SimulatedCluster.job(1, 2).put("windfall", false));
        breaks("wrong_place", () -> rules.starts(TASK, "m1", "z1", true));
        accepted(SimulatedCluster.job(2, 2).put("grove", "z1"));
        breaks("wrong_place", () -> rules.starts("j-000002/0", "m1", "z2", true));
        accepted(SimulatedCluster.job(3, 2).put("samePlace", true));
        rules.starts("j-000003/0", "m1", "z1", true);
        breaks("wrong_place", () -> rules.starts("j-000003/1", "m2", "z2", true));
    }

    @Test
    void tooManyTasksInOneZoneViolateWrongPlace() {
        accepted(SimulatedCluster.job(1, 3).put("scatter", true));
        rules.starts(JOB + "/0", "m1", "z1", true);
        rules.starts(JOB + "/1", "m1", "z1", true);
        breaks("wrong_place", () -> rules.starts(JOB + "/2", "m1", "z1", true));
    }

    @Test
    void cancelledTaskBeyondDeadlineViolatesRanCancelled() {
        accepted(SimulatedCluster.job(1, 1));
        rules.starts(TASK, "m1", "z1", true);
        cancelled(JOB);
        nowS = 31;
        breaks("ran_cancelled", rules::watch);
    }

    @Test
    void startAfterCancellationViolatesRanCancelled() {
        accepted(SimulatedCluster.job(1, 1));
        cancelled(JOB);
        nowS = 5;
        breaks("ran_cancelled", () -> rules.starts(TASK, "m1", "z1", true));
    }

    @Test
    void unknownAcceptedJobViolatesForgotten() {
        accepted(SimulatedCluster.job(1, 1));
        for (int status : new int[] {404, 400, 422}) {
            breaks("forgotten", () -> rules.answered(JOB, status, ""));
        }
    }

    @Test
    void unsubmittedJobViolatesInvented() {
        breaks("invented", () -> rules.answered(JOB, 200, "pending"));
    }

    @Test
    void doneBeforeAllTasksViolatesNotDone() {
        accepted(SimulatedCluster.job(1, 2));
        rules.completes(TASK);
        breaks("not_done", () -> rules.answered(JOB, 200, "done"));
    }

    @Test
    void revokedOrUnrequestedEndViolatesWentBack() {
        accepted(SimulatedCluster.job(1, 1));
        breaks("went_back", () -> rules.answered(JOB, 200, "cancelled"));
        rules.asksToCancel(JOB);
        rules.answered(JOB, 200, "cancelled");
        breaks("went_back", () -> rules.answered(JOB, 200, "running"));
    }

    @Test
    void jobWaitingBesideFreeCapacityIsReported() {
        accepted(SimulatedCluster.job(1, 5));
        assertEquals(List.of(JOB), rules.waiting());
        for (int i = 0; i < 4; i++) {
            rules.starts(JOB + "/" + i, "m" + i / 2, "z1", true);
        }
        assertEquals(8, rules.cpusOn("m1"));
        assertFalse(rules.limitAllows(JOB));
        rules.leaves(JOB + "/0", "m0");
        assertTrue(rules.limitAllows(JOB));
        rules.waits(JOB, true);
        nowS = 80;
        rules.waits(JOB, false); // for a moment there was none
        nowS = 85;
        rules.waits(JOB, true);
        nowS = 175;
        rules.waits(JOB, true);
        nowS = 176;
        breaks("waits beside room", () -> rules.waits(JOB, true));
    }

    @Test
    void unfinishedJobOrLeftoverTaskIsReported() {
        accepted(SimulatedCluster.job(1, 1));
        breaks("left waiting", rules::over);
        rules.starts(TASK, "m1", "z1", true);
        rules.completes(TASK);
        breaks("left running", rules::over);
    }

    /** Neither a leader's bindings nor a worker's word count: a task that hangs, or that nobody bound, is on its machine. */
    @Test
    void oneCancelledTaskAmongFourThousandMachinesIsDetected() {
        for (int i = 0; i < 4000; i++) {
            accepted(SimulatedCluster.job(i, 1).put("cpus", 0.001));
            rules.starts(String.format("j-%06d/0", i), "m" + i, "z1", true);
        }
        cancelled("j-003999");
        nowS = 30;
        rules.watch();
        nowS = 30.1;
        breaks("ran_cancelled", rules::watch);
    }
}
