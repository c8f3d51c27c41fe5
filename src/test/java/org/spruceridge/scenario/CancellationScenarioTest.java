package org.spruceridge.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.spruceridge.net.Response;
import org.spruceridge.sim.SimJobs;
import org.spruceridge.sim.SimNet.Delivery;
import org.spruceridge.sim.SimStateService;
import org.spruceridge.sim.SimWorker;
import org.spruceridge.sim.SimulatedCluster;

/**
 * Users cancel jobs during faults. The simulated cluster fails a scenario if a task of a cancelled job is still on a
 * machine {@code cancel_s} seconds after a user received the confirmation of the cancellation.
 */
final class CancellationScenarioTest {
    private static final String LONG_JOB_ID = "j-000001";

    private SimulatedCluster cluster = new SimulatedCluster(3);

    /** Waits for a leader, submits a job of two ten-minute tasks and waits until both tasks run. */
    private void startLongJob() {
        cluster.awaitLeader(10);
        cluster.submit(SimJobs.array(1, 2).put("expectS", 600.0));
        cluster.await(() -> cluster.runningTasks().size() == 2, 40);
    }

    private static boolean readsOpenJobs(String target) {
        return target.startsWith("/follow?starts=open/") || target.startsWith("/store?starts=open/");
    }

    @Test
    void cancellationMeetsDeadlineIfStateServiceRefusesLeaderAndLaterAllNodes() {
        for (double beforeOutageS : new double[] {0.1, 1, 2, 6}) {
            for (double outageS : new double[] {
                6,
                8,
                13,
                15,
                SimulatedCluster.CANCELLATION_DEADLINE_S - 1,
                SimulatedCluster.CANCELLATION_DEADLINE_S + 15
            }) {
                cluster = new SimulatedCluster(3);
                startLongJob();
                cluster.submit(SimJobs.array(2, 2).put("expectS", 20.0));
                cluster.net.refuseStateRequests(cluster.leader(), beforeOutageS + 12);
                cluster.loop.run(beforeOutageS / 2);
                assertEquals("cancelled", cluster.cancel(cluster.follower(), LONG_JOB_ID));
                cluster.loop.run(beforeOutageS / 2);
                cluster.state.startOutage(outageS);
                cluster.loop.run(Math.max(outageS, SimulatedCluster.CANCELLATION_DEADLINE_S));
                cluster.verifyRecovery(120);
            }
        }
    }

    @Test
    void cancellationMeetsDeadlineDespiteTwoRefusalsOfLeaderAndTwoOutages() {
        startLongJob();
        cluster.submit(SimJobs.array(2, 1).put("expectS", 30.0));
        cluster.net.refuseStateRequests(cluster.leader(), 10);
        cluster.loop.run(1);
        assertEquals("cancelled", cluster.cancel(cluster.follower(), LONG_JOB_ID));
        cluster.state.startOutage(SimulatedCluster.LEASE_S - 1);
        cluster.loop.run(SimulatedCluster.LEASE_S);
        String leader = cluster.leader() == null ? cluster.follower() : cluster.leader();
        cluster.net.refuseStateRequests(leader, 10);
        cluster.loop.run(1);
        cluster.state.startOutage(SimulatedCluster.CANCELLATION_DEADLINE_S + 5);
        cluster.loop.run(SimulatedCluster.CANCELLATION_DEADLINE_S + 5);
        cluster.verifyRecovery(120);
    }

    @Test
    void stuckJobWatchLosesNoTaskWhileLeaseRenewalsSucceed() {
        startLongJob();
        cluster.submit(SimJobs.array(2, 1).put("expectS", 60.0));
        cluster.await(() -> cluster.runningTasks().size() == 3, 20);
        String leader = cluster.leader();
        cluster.nodes.isolateFromPeers(leader);
        cluster.net.injectFaults(
                (from, to, call) -> from.equals(leader) && call.target().startsWith("/follow?starts=open/")
                        ? Delivery.LOST
                        : Delivery.DELIVERED);
        cluster.loop.run(26); // until all requests sent before the fault have been answered
        assertEquals("cancelled", cluster.cancel(cluster.follower(), LONG_JOB_ID));
        cluster.loop.run(SimulatedCluster.CANCELLATION_DEADLINE_S);
        assertEquals(leader, cluster.leader());
        cluster.verifyRecovery(60);
        assertEquals(
                3,
                cluster.taskStarts().size(),
                "each task must start once: a listing must replace the stuck watch before a lease expires");
    }

    @Test
    void leaderWithStaleCancellationViewAnswersNoWorkers() {
        startLongJob();
        String leader = cluster.leader();
        cluster.nodes.isolateFromPeers(leader);
        cluster.loop.run(5);
        cluster.net.injectFaults((from, to, call) ->
                from.equals(leader) && readsOpenJobs(call.target()) ? Delivery.LOST : Delivery.DELIVERED);
        cluster.loop.run(3); // until all reads of open jobs sent before the fault have been answered
        assertEquals("cancelled", cluster.cancel(cluster.follower(), LONG_JOB_ID));
        // The leader must stop answering workers, because its view of the cancelled jobs is too old. The leader lease
        // alone would let it answer indefinitely, because the state service still renews this lease.
        cluster.loop.run(SimulatedCluster.CANCELLATION_DEADLINE_S + 1);
        assertEquals(leader, cluster.leader());
        assertTrue(cluster.runningTasks().isEmpty(), "cancelled tasks must stop when their leases expire");
        cluster.verifyRecovery(60);
    }

    @Test
    void cancelledTasksStopWhileNewLeaderCannotReadOneListing() {
        for (String unreadablePrefix : List.of("open/", "parts/", "bound/")) {
            cluster = new SimulatedCluster(3);
            startLongJob();
            String oldLeader = cluster.leader();
            cluster.nodes.isolateFromPeers(oldLeader);
            cluster.net.refuseStateRequests(oldLeader, 60);
            cluster.loop.run(1);
            String follower = cluster.follower();
            assertEquals("cancelled", cluster.cancel(follower, LONG_JOB_ID));
            cluster.net.injectFaults((from, to, call) ->
                    call.target().startsWith("/store?starts=" + unreadablePrefix) ? Delivery.LOST : Delivery.DELIVERED);
            cluster.nodes.crash(oldLeader);
            cluster.loop.run(SimulatedCluster.CANCELLATION_DEADLINE_S);
            assertTrue(
                    cluster.runningTasks().isEmpty(),
                    "tasks must stop even if the new leader cannot list " + unreadablePrefix);
            cluster.verifyRecovery(60);
        }
    }

    @Test
    void leaderRefusedByStateServiceLearnsOfCancellationFromPeerHeartbeat() {
        startLongJob();
        cluster.net.refuseStateRequests(cluster.leader(), 14);
        cluster.loop.run(0.1);
        assertEquals("cancelled", cluster.cancel(cluster.follower(), LONG_JOB_ID));
        cluster.loop.run(2);
        assertTrue(cluster.runningTasks().isEmpty());
        cluster.verifyRecovery(60);
    }

    @Test
    void hungMachineWithCancelledTaskIsDeletedDespiteRepeatedFailovers() {
        startLongJob();
        SimWorker hungWorker = cluster.cloud.workers().get(0);
        hungWorker.hang();
        assertEquals("cancelled", cluster.cancel(cluster.follower(), LONG_JOB_ID));
        // Each leader leads for at most 5 s, too short to declare the silent machine dead. The machine must be deleted
        // because a stop on it is overdue.
        for (int i = 0; i < 6; i++) {
            cluster.nodes.crashLeader(1);
            cluster.loop.run(SimulatedCluster.CANCELLATION_DEADLINE_S / 6);
        }
        assertFalse(cluster.cloud.workers().contains(hungWorker));
        cluster.verifyRecovery(60);
    }

    @Test
    void stopCommandIsRetriedToMachineThatCannotSendHeartbeats() {
        startLongJob();
        List<String> silentMachines = cluster.cloud.machineNames();
        AtomicInteger commandCalls = new AtomicInteger();
        cluster.net.injectFaults((from, to, call) -> {
            boolean isFirstCommand = call.target().equals("/do") && commandCalls.getAndIncrement() == 0;
            boolean isToCloud = SimulatedCluster.isCloud(to);
            return silentMachines.contains(from) || isFirstCommand || isToCloud ? Delivery.LOST : Delivery.DELIVERED;
        });
        assertEquals("cancelled", cluster.cancel(cluster.follower(), LONG_JOB_ID));
        cluster.loop.run(SimulatedCluster.LEASE_S * 0.6);
        assertTrue(cluster.runningTasks().isEmpty(), "tasks must stop before the leases of their machines expire");
        cluster.verifyRecovery(60);
    }

    @Test
    void cancellationBeforeDuringAndAfterFailoverMeetsDeadline() {
        for (int step = 0; step < 12; step++) {
            cluster = new SimulatedCluster(3);
            startLongJob();
            cluster.submit(SimJobs.array(2, 2).put("expectS", 20.0));
            String oldLeader = cluster.leader();
            String follower = cluster.follower();
            int cancelTick = step;
            for (int tick = 0; tick < 12; tick++) {
                if (tick == 3) {
                    cluster.nodes.crash(oldLeader);
                }
                if (tick == cancelTick) {
                    cluster.cancel(follower, LONG_JOB_ID);
                }
                cluster.loop.run(0.8);
            }
            cluster.await(() -> cluster.cancel(follower, LONG_JOB_ID).equals("cancelled"), 20);
            cluster.loop.run(SimulatedCluster.CANCELLATION_DEADLINE_S);
            cluster.verifyRecovery(120);
        }
    }

    @Test
    void cancellationRacingLastTaskCompletionHasOneOutcome() {
        for (int step = 0; step < 24; step++) {
            cluster = new SimulatedCluster(3);
            cluster.awaitLeader(10);
            cluster.submit(SimJobs.array(1, 1).put("expectS", 5.0));
            cluster.await(() -> cluster.runningTasks().size() == 1, 40);
            cluster.loop.run(4.9);
            // Each step adds 5 ms, the time that one or two messages take. The times of cancellation range from before
            // the end of the task until after the write of its record.
            cluster.loop.run(step * 0.005);
            String outcome = cluster.cancel(step % 2 == 0 ? cluster.follower() : cluster.leader(), LONG_JOB_ID);
            assertTrue(
                    outcome.equals("cancelled") || outcome.equals("done"),
                    "the job must be cancelled or done but is " + outcome);
            assertEquals(outcome, cluster.poll(LONG_JOB_ID));
            assertEquals(
                    200, cluster.submit(cluster.follower(), SimJobs.array(1, 1).put("expectS", 5.0)));
            assertEquals(outcome, cluster.cancel(cluster.follower(), LONG_JOB_ID));
            cluster.verifyRecovery(40);
        }
    }

    @Test
    void cancellationRacingTaskStartReleasesBindings() {
        cluster.awaitLeader(10);
        cluster.submit(SimJobs.array(1, 2).put("expectS", 600.0));
        cluster.await(() -> cluster.hasBinding("j-000001"), 40);
        Response response = cluster.request(cluster.follower(), "POST", "/api/jobs/j-000001/abort");
        assertEquals("cancelled", SimulatedCluster.stage(response));
        cluster.loop.run(SimulatedCluster.CANCELLATION_DEADLINE_S);
        assertTrue(cluster.runningTasks().isEmpty());
        assertFalse(cluster.hasBinding("j-000001"), "bindings of a cancelled job must be released");
        assertEquals("cancelled", cluster.poll("j-000001"));
    }

    @Test
    void cancellationDuringBindingTransactionDelaysNoOtherJob() {
        cluster.awaitLeader(10);
        String leader = cluster.leader();
        cluster.net.injectFaults(
                (from, to, call) -> from.equals(leader) && SimStateService.isTransactionOn(call, "bound/")
                        ? Delivery.HELD
                        : Delivery.DELIVERED);
        cluster.submit(SimJobs.array(1, 1));
        cluster.await(() -> cluster.net.heldCount() > 0, 30);
        cluster.net.clearFaults();
        Response response = cluster.request(cluster.follower(), "POST", "/api/jobs/j-000001/abort");
        assertEquals("cancelled", SimulatedCluster.stage(response));
        cluster.submit(SimJobs.array(2, 1));
        cluster.await(() -> cluster.poll("j-000002").equals("done"), 60);
        assertEquals(1, cluster.taskStarts().size());
        cluster.net.deliverHeld();
        cluster.loop.run(SimulatedCluster.CANCELLATION_DEADLINE_S);
        assertFalse(cluster.hasBinding("j-000001"));
    }

    @Test
    void cancellationUnknownToLeaderPreventsTaskStart() {
        cluster.awaitLeader(10);
        cluster.submit(SimJobs.array(1, 1));
        // From here on the leader learns of no new or cancelled job. The machine is still booting.
        String leader = cluster.leader();
        cluster.nodes.isolateFromPeers(leader);
        cluster.net.injectFaults((from, to, call) ->
                from.equals(leader) && call.target().contains("?starts=open/") ? Delivery.LOST : Delivery.DELIVERED);
        cluster.submit(SimJobs.array(2, 1));
        cluster.loop.run(1);
        cluster.request(cluster.follower(), "POST", "/api/jobs/j-000001/abort");
        cluster.loop.run(20);
        assertTrue(
                cluster.taskStarts().isEmpty(),
                "tasks must not start, because the binding transaction fails its comparison with the job's record");
    }

    @Test
    void cancellationWithoutLeaderIsExecutedByNextLeader() {
        cluster.awaitLeader(10);
        cluster.submit(SimJobs.array(1, 2).put("expectS", 600.0));
        cluster.await(() -> cluster.runningTasks().size() == 2, 40);
        cluster.nodes.crash(cluster.leader());
        Response response = cluster.request(cluster.follower(), "POST", "/api/jobs/j-000001/abort");
        assertEquals("cancelled", SimulatedCluster.stage(response));
        cluster.loop.run(SimulatedCluster.CANCELLATION_DEADLINE_S);
        assertTrue(cluster.runningTasks().isEmpty());
    }

    @Test
    void machineWithUnansweredStartCommandOfCancelledJobIsDeleted() {
        cluster.awaitLeader(10);
        cluster.submit(SimJobs.array(1, 1).put("expectS", 600.0));
        cluster.await(() -> cluster.runningTasks().size() == 1, 30);
        cluster.net.injectFaults((from, to, call) -> call.target().equals("/do") ? Delivery.HELD : Delivery.DELIVERED);
        cluster.submit(SimJobs.array(2, 1).put("expectS", 600.0));
        while (cluster.net.heldCount() == 0) {
            cluster.loop.run(0.01);
        }
        cluster.request(cluster.follower(), "POST", "/api/jobs/j-000002/abort");
        cluster.loop.run(SimulatedCluster.CANCELLATION_DEADLINE_S + 5);
        assertFalse(
                cluster.hasBinding("j-000002"),
                "the binding must be released once the deletion of the machine is confirmed");
        cluster.net.deliverHeld();
        cluster.loop.run(5);
        assertTrue(cluster.taskStarts().stream().noneMatch(start -> start.startsWith("j-000002")));
        assertEquals(1, cluster.runningTasks().size(), "the task of the first job must run on another machine");
    }
}
