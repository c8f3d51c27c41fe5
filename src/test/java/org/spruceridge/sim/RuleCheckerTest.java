package org.spruceridge.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.spruceridge.net.Durations;

/** The checker reports each rule that a history violates, and reports nothing for a valid history. */
final class RuleCheckerTest {
    private static final String JOB_ID = "j-000001";
    private static final String TASK_ID = "j-000001/0";

    private double nowS;
    private final RuleChecker rules = new RuleChecker(() -> Durations.nanos(nowS), 16, 30);

    private void accept(ObjectNode job) {
        rules.recordSubmission(job);
        rules.recordResponse(job.path("nameId").asText(), 201, "pending");
    }

    private void cancel(String id) {
        rules.recordCancelRequest(id);
        rules.recordResponse(id, 200, "cancelled");
    }

    private static void assertViolates(String rule, Runnable step) {
        AssertionError violation = assertThrows(AssertionError.class, step::run);
        assertEquals(rule, violation.getMessage().split(":")[0], violation.getMessage());
    }

    @Test
    void validHistoryViolatesNoRule() {
        accept(SimJobs.array(1, 2));
        rules.recordStart(TASK_ID, "m1", "z1", true);
        rules.recordStart("j-000001/1", "m2", "z2", false);
        rules.recordStop(TASK_ID, "m1");
        rules.recordStart(TASK_ID, "m2", "z2", false);
        rules.recordStop(TASK_ID, "m2");
        rules.recordCompletion(TASK_ID);
        rules.recordStop("j-000001/1", "m2");
        rules.recordCompletion("j-000001/1");
        rules.recordResponse(JOB_ID, 200, "done");
        rules.recordResponse(JOB_ID, 503, "");
        rules.recordResponse(JOB_ID, 200, "done");
        accept(SimJobs.array(2, 1));
        rules.recordStart("j-000002/0", "m1", "z1", true);
        cancel("j-000002");
        nowS = 29;
        rules.checkDeadlines();
        rules.recordStop("j-000002/0", "m1");
        nowS = 99;
        rules.checkDeadlines();
        rules.checkAllFinished();
    }

    @Test
    void taskOnTwoMachinesViolatesRanTwice() {
        accept(SimJobs.array(1, 1));
        rules.recordStart(TASK_ID, "m1", "z1", true);
        assertViolates("ran_twice", () -> rules.recordStart(TASK_ID, "m2", "z1", true));
    }

    @Test
    void cpusAboveTeamQuotaViolateQuota() {
        accept(SimJobs.array(1, 5));
        for (int i = 0; i < 4; i++) {
            rules.recordStart(JOB_ID + "/" + i, "m" + i, "z1", true);
        }
        assertViolates("quota", () -> rules.recordStart(JOB_ID + "/4", "m4", "z1", true));
    }

    @Test
    void taskOnMachineThatItsJobForbidsViolatesWrongPlace() {
        accept(SimJobs.array(1, 2).put("windfall", false));
        assertViolates("wrong_place", () -> rules.recordStart(TASK_ID, "m1", "z1", true));
        accept(SimJobs.array(2, 2).put("grove", "z1"));
        assertViolates("wrong_place", () -> rules.recordStart("j-000002/0", "m1", "z2", true));
        accept(SimJobs.array(3, 2).put("samePlace", true));
        rules.recordStart("j-000003/0", "m1", "z1", true);
        assertViolates("wrong_place", () -> rules.recordStart("j-000003/1", "m2", "z2", true));
    }

    @Test
    void moreThanHalfOfScatteredTasksInOneZoneViolateWrongPlace() {
        accept(SimJobs.array(1, 3).put("scatter", true));
        rules.recordStart(JOB_ID + "/0", "m1", "z1", true);
        rules.recordStart(JOB_ID + "/1", "m1", "z1", true);
        assertViolates("wrong_place", () -> rules.recordStart(JOB_ID + "/2", "m1", "z1", true));
    }

    @Test
    void cancelledTaskRunningAfterDeadlineViolatesRanCancelled() {
        accept(SimJobs.array(1, 1));
        rules.recordStart(TASK_ID, "m1", "z1", true);
        cancel(JOB_ID);
        nowS = 31;
        assertViolates("ran_cancelled", rules::checkDeadlines);
    }

    @Test
    void startFiveSecondsAfterCancellationViolatesRanCancelled() {
        accept(SimJobs.array(1, 1));
        cancel(JOB_ID);
        nowS = 5;
        assertViolates("ran_cancelled", () -> rules.recordStart(TASK_ID, "m1", "z1", true));
    }

    @Test
    void errorResponseAboutAcceptedJobViolatesForgotten() {
        accept(SimJobs.array(1, 1));
        for (int status : new int[] {404, 400, 422}) {
            assertViolates("forgotten", () -> rules.recordResponse(JOB_ID, status, ""));
        }
    }

    @Test
    void successResponseAboutUnsubmittedJobIsReportedAsInvented() {
        assertViolates("invented", () -> rules.recordResponse(JOB_ID, 200, "pending"));
    }

    @Test
    void doneBeforeAllTasksCompleteViolatesNotDone() {
        accept(SimJobs.array(1, 2));
        rules.recordCompletion(TASK_ID);
        assertViolates("not_done", () -> rules.recordResponse(JOB_ID, 200, "done"));
    }

    @Test
    void changedOrUnrequestedTerminalStageViolatesWentBack() {
        accept(SimJobs.array(1, 1));
        assertViolates("went_back", () -> rules.recordResponse(JOB_ID, 200, "cancelled"));
        rules.recordCancelRequest(JOB_ID);
        rules.recordResponse(JOB_ID, 200, "cancelled");
        assertViolates("went_back", () -> rules.recordResponse(JOB_ID, 200, "running"));
    }

    @Test
    void jobWaitingDespiteFreeCapacityIsReported() {
        accept(SimJobs.array(1, 5));
        assertEquals(List.of(JOB_ID), rules.waitingJobIds());
        for (int i = 0; i < 4; i++) {
            rules.recordStart(JOB_ID + "/" + i, "m" + i / 2, "z1", true);
        }
        assertEquals(8, rules.cpusUsedOn("m1"));
        assertFalse(rules.quotaAllows(JOB_ID));
        rules.recordStop(JOB_ID + "/0", "m0");
        assertTrue(rules.quotaAllows(JOB_ID));
        rules.checkWaitingTime(JOB_ID, true);
        nowS = 80;
        rules.checkWaitingTime(JOB_ID, false); // a lack of capacity resets the waiting time
        nowS = 85;
        rules.checkWaitingTime(JOB_ID, true);
        nowS = 175;
        rules.checkWaitingTime(JOB_ID, true);
        nowS = 176;
        assertViolates("waits despite free capacity", () -> rules.checkWaitingTime(JOB_ID, true));
    }

    @Test
    void unfinishedJobOrLeftoverTaskIsReported() {
        accept(SimJobs.array(1, 1));
        assertViolates("unfinished", rules::checkAllFinished);
        rules.recordStart(TASK_ID, "m1", "z1", true);
        rules.recordCompletion(TASK_ID);
        assertViolates("still running", rules::checkAllFinished);
    }

    /**
     * The deadline check uses the starts and stops that the machines record, not bindings or heartbeats. It finds one
     * overdue task even among 4000 running tasks on 4000 machines.
     */
    @Test
    void overdueTaskAmongFourThousandRunningTasksIsDetected() {
        for (int i = 0; i < 4000; i++) {
            accept(SimJobs.array(i, 1).put("cpus", 0.001));
            rules.recordStart(String.format("j-%06d/0", i), "m" + i, "z1", true);
        }
        cancel("j-003999");
        nowS = 30;
        rules.checkDeadlines();
        nowS = 30.1;
        assertViolates("ran_cancelled", rules::checkDeadlines);
    }
}
