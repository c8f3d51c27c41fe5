package org.spruceridge.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.spruceridge.cluster.Job;
import org.spruceridge.cluster.JobKind;
import org.spruceridge.cluster.Machine;
import org.spruceridge.cluster.MachineKind;
import org.spruceridge.net.Durations;

/** Tasks on machines on which earlier tasks failed: the last resort, one at a time, after a delay. */
final class TrialPlacementsTest extends MatchingFixture {
    private static final long LONG_AGO = NOW - Durations.nanos(200);
    private static final long JUST_NOW = NOW - Durations.nanos(1);

    private Job jobOf(double cpus) {
        JobBuilder builder = job();
        builder.cpus = cpus;
        return builder.add();
    }

    /** A machine that was cordoned at {@code since}, when a task of the second of two jobs failed on it. */
    private Machine addCordonedMachine(String name, long since) {
        Machine machine = addMachine(name, "a", false);
        machine.taskFailures().record(doneJob(), 0, since);
        machine.taskFailures().record(doneJob(), 0, since);
        machine.taskFailures().cordon(since);
        return machine;
    }

    private Job doneJob() {
        Job done = jobOf(1);
        done.markDone(0);
        return done;
    }

    private void fail(Job job, Machine machine, long at) {
        job.recordFailure(machine, 0);
        machine.taskFailures().record(job, 0, at);
    }

    @Test
    void cordonedMachineGetsNoTaskWhileOtherMachineHasRoom() {
        addCordonedMachine("cordoned", LONG_AGO);
        addMachine("other", "a", false);
        jobOf(4);
        assertEquals(List.of("other"), machineNames(plan()));
    }

    @Test
    void cordonedMachineGetsOneTrialIfNoOtherMachineHasRoom() {
        Machine cordoned = addCordonedMachine("cordoned", LONG_AGO);
        bindRunning(jobOf(8), 0, addMachine("other", "a", false));
        Job first = jobOf(2);
        jobOf(2);
        Plan plan = plan();
        assertEquals(List.of("cordoned"), machineNames(plan));
        assertEquals(first, plan.placements().get(0).job());
        bindRunning(first, 0, cordoned);
        assertEquals(List.of(), machineNames(plan()), "the next trial must wait for the result of the first one");
    }

    /** Tasks that were bound before the cordon are no trials, so they delay none. */
    @Test
    void earlierTaskOnCordonedMachineDelaysNoTrial() {
        Machine cordoned = addCordonedMachine("cordoned", NOW);
        bindRunning(jobOf(2), 0, cordoned);
        jobOf(2);
        long later = NOW + Durations.nanos(60);
        cordoned.recordHeartbeat(1, 2, "", later);
        assertEquals(List.of("cordoned"), machineNames(matching.plan(cluster, later, WALL_MS)));
    }

    @Test
    void trialWaitsForDelay() {
        addCordonedMachine("cordoned", JUST_NOW);
        jobOf(4);
        assertEquals(List.of(), machineNames(plan()));
    }

    @Test
    void bootingMachineThatAllowsTaskDelaysTrialForUsualBootTime() {
        addCordonedMachine("cordoned", NOW - Durations.nanos(20));
        jobOf(4);
        assertEquals(List.of("cordoned"), machineNames(plan()));
        cluster.add(new Machine("booting", "", new MachineKind("t8", "b", false), NOW, NOW));
        assertEquals(List.of(), machineNames(plan()));
    }

    /** A machine that never comes up must not delay trials for ever, nor must one launch after another. */
    @Test
    void bootingMachineDelaysNoTrialAfterUsualBootTime() {
        addCordonedMachine("cordoned", NOW - Durations.nanos(31));
        cluster.add(new Machine("booting", "", new MachineKind("t8", "b", false), NOW, NOW));
        jobOf(4);
        assertEquals(List.of("cordoned"), machineNames(plan()));
    }

    @Test
    void jobWithoutFailuresGetsTrialBeforeOlderJobWithFailures() {
        Machine cordoned = addCordonedMachine("cordoned", LONG_AGO);
        fail(jobOf(2), cordoned, LONG_AGO);
        Job second = jobOf(2);
        assertEquals(second, plan().placements().get(0).job());
    }

    @Test
    void blockedMachineGetsNoTrial() {
        addCordonedMachine("noticed", LONG_AGO).reclaim().announce(NOW + 1);
        addCordonedMachine("returning", LONG_AGO).markTerminating();
        jobOf(4);
        assertEquals(List.of(), machineNames(plan()));
    }

    @Test
    void trialRespectsKindAndZoneAndRoom() {
        Machine cordoned = addCordonedMachine("cordoned", LONG_AGO);
        bindRunning(jobOf(6), 0, cordoned);
        jobOf(4);
        JobBuilder otherZone = job();
        otherZone.cpus = 1;
        otherZone.zone = Optional.of("b");
        otherZone.add();
        assertEquals(List.of(), machineNames(plan()));
    }

    @Test
    void replicaOfServiceCanBeTrial() {
        addCordonedMachine("cordoned", LONG_AGO);
        JobBuilder service = job();
        service.kind = JobKind.SERVICE;
        service.tasks = 3;
        service.cpus = 1;
        service.add();
        assertEquals(List.of("cordoned"), machineNames(plan()));
    }

    /** Guards against a job that is never tried again on the only machine that fits. */
    @Test
    void jobIsTriedAgainOnOnlyMachineThatFits() {
        Machine only = addMachine("only", "a", false);
        Job failed = jobOf(2);
        fail(failed, only, LONG_AGO);
        assertEquals(List.of("only"), machineNames(plan()));
    }

    @Test
    void jobAvoidsMachineOnWhichItFailedWhileOtherMachineHasRoom() {
        Machine failedMachine = addMachine("failed", "a", false);
        addMachine("other", "a", false);
        fail(jobOf(2), failedMachine, LONG_AGO);
        assertEquals(List.of("other"), machineNames(plan()));
    }

    @Test
    void repeatedFailuresOfJobDelayItsNextTrialLonger() {
        Machine only = addMachine("only", "a", false);
        Job failed = jobOf(2);
        fail(failed, only, NOW - Durations.nanos(5));
        assertEquals(List.of("only"), machineNames(plan()));
        fail(failed, only, NOW - Durations.nanos(5));
        assertEquals(List.of(), machineNames(plan()));
    }

    /** Only one task of the job is at risk until it shows that the machine is in order. */
    @Test
    void jobGetsOneTrialAtTimeOnMachineOnWhichItFailed() {
        Machine only = addMachine("only", "a", false);
        JobBuilder array = job();
        array.cpus = 1;
        array.tasks = 4;
        Job failed = array.add();
        bindRunning(failed, 3, only);
        fail(failed, only, NOW);
        long later = NOW + Durations.nanos(6);
        only.recordHeartbeat(1, 2, "", later);
        assertEquals(1, matching.plan(cluster, later, WALL_MS).placements().size());
    }
}
