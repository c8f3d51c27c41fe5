package org.spruceridge.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.List;
import java.util.SplittableRandom;
import java.util.function.IntConsumer;
import org.junit.jupiter.api.Test;
import org.spruceridge.sim.SimJobs;
import org.spruceridge.sim.SimNet.Delivery;
import org.spruceridge.sim.SimStateService;
import org.spruceridge.sim.SimWorker;
import org.spruceridge.sim.SimulatedCluster;

/**
 * Scenarios with concurrent faults. Each scenario is repeated with increasing step numbers, which vary the times or the
 * kinds of the faults, or the seed of random losses. The simulated cluster checks the rules throughout. Finally,
 * {@link SimulatedCluster#verifyRecovery} requires that every accepted job ends and that every node knows the job.
 */
final class ConcurrentFaultsScenarioTest {
    private SimulatedCluster cluster;

    private void forEachStep(int steps, IntConsumer scenario) {
        for (int step = 0; step < steps; step++) {
            cluster = new SimulatedCluster(3);
            cluster.awaitLeader(10);
            try {
                scenario.accept(step);
                cluster.verifyRecovery(240);
            } catch (AssertionError e) {
                throw new AssertionError("step " + step + ": " + e.getMessage(), e);
            }
        }
    }

    private void startTasks(int jobNumber, int tasks, double durationS) {
        int runningBefore = cluster.runningTasks().size();
        cluster.submit(SimJobs.array(jobNumber, tasks).put("expectS", durationS));
        cluster.await(() -> cluster.runningTasks().size() == runningBefore + tasks, 40);
    }

    private static boolean isMachine(String host) {
        return host.startsWith("10.1.0.");
    }

    @Test
    void quotaHoldsAcrossFailoverWithUnreachableMachine() {
        forEachStep(6, step -> {
            startTasks(1, 2, 300);
            startTasks(2, 2, 40);
            SimWorker unreachableWorker = cluster.cloud.workers().get(0);
            cluster.net.injectFaults((from, to, call) -> from.equals(unreachableWorker.name())
                            || to.equals(SimWorker.address(unreachableWorker.name()))
                            || SimulatedCluster.isCloud(to)
                    ? Delivery.LOST
                    : Delivery.DELIVERED);
            cluster.submit(SimJobs.array(3, 4).put("expectS", 10.0));
            cluster.loop.run(step * 0.7);
            cluster.nodes.crashLeader(4);
            cluster.loop.run(step * 0.3);
            cluster.await(() -> cluster.cancel(cluster.follower(), "j-000001").equals("cancelled"), 10);
            cluster.loop.run(SimulatedCluster.CANCELLATION_DEADLINE_S);
        });
    }

    @Test
    void allJobsCompleteAfterLeaderCrashWithUnreachableMachine() {
        forEachStep(6, step -> {
            startTasks(1, 4, 60);
            List<String> unreachableMachines =
                    List.of(cluster.cloud.workers().get(0).name());
            cluster.net.injectFaults((from, to, call) -> {
                if (unreachableMachines.contains(from)) {
                    return step % 2 == 0 ? Delivery.RESPONSE_LOST : Delivery.LOST;
                }
                return isMachine(to.host())
                                && unreachableMachines.contains(to.host().substring(7))
                        ? Delivery.LOST
                        : Delivery.DELIVERED;
            });
            cluster.loop.run(step);
            cluster.nodes.crashLeader(3);
            cluster.loop.run(1.5 * SimulatedCluster.LEASE_S);
        });
    }

    @Test
    void jobsOfMixedPrioritiesExceedingCapacityCompleteOverLossyNetwork() {
        forEachStep(3, step -> {
            cluster.cloud.limitCapacity(2);
            SplittableRandom random = new SplittableRandom(step);
            cluster.net.injectFaults(
                    (from, to, call) -> random.nextInt(10) < 2 ? Delivery.RESPONSE_LOST : Delivery.DELIVERED);
            for (int i = 1; i <= 12; i++) {
                String priority = i % 3 == 0 ? "production" : i % 3 == 1 ? "best_effort" : "normal";
                cluster.submit(SimJobs.array(i, 3).put("rank", priority).put("expectS", 4.0 + i));
                cluster.loop.run(1);
            }
            cluster.loop.run(30);
        });
    }

    @Test
    void heartbeatsDelayedUntilAfterFailoverChangeNothing() {
        forEachStep(8, step -> {
            startTasks(1, 2, 20);
            SimWorker worker = cluster.cloud.workers().get(0);
            cluster.net.injectFaults(
                    (from, to, call) -> from.equals(worker.name()) ? Delivery.HELD : Delivery.DELIVERED);
            cluster.loop.run(0.5 * step);
            cluster.nodes.crashLeader(2);
            cluster.loop.run(SimulatedCluster.LEASE_S + 5);
            cluster.net.clearFaults();
            while (cluster.net.heldCount() > 0) {
                cluster.net.deliverOldestHeld();
                cluster.loop.run(0.3);
            }
        });
    }

    @Test
    void duplicateHeartbeatsArrivingLateChangeNothing() {
        forEachStep(4, step -> {
            SplittableRandom random = new SplittableRandom(step);
            cluster.net.injectFaults((from, to, call) ->
                    from.startsWith("i-") && random.nextInt(10) < 4 ? Delivery.DUPLICATED_LATE : Delivery.DELIVERED);
            for (int i = 1; i <= 6; i++) {
                cluster.submit(SimJobs.array(i, 2).put("expectS", 6.0));
                cluster.loop.run(5);
                if (i % 2 == 0) {
                    cluster.nodes.crashLeader(1);
                    cluster.cloud.workers().stream().findFirst().ifPresent(SimWorker::restart);
                }
            }
            cluster.loop.run(2 * SimulatedCluster.LEASE_S);
        });
    }

    @Test
    void cancellationReachesMachinesThatCannotSendHeartbeats() {
        forEachStep(6, step -> {
            startTasks(1, 3, 60);
            List<String> silentMachines = cluster.cloud.machineNames();
            cluster.net.injectFaults(
                    (from, to, call) -> silentMachines.contains(from) ? Delivery.LOST : Delivery.DELIVERED);
            cluster.loop.run(step);
            cluster.submit(SimJobs.array(2, 1).put("expectS", 10.0));
            cluster.loop.run(1);
            assertEquals("cancelled", cluster.cancel(cluster.follower(), "j-000001"));
            if (step % 2 == 0) {
                cluster.nodes.crashLeader(5);
            }
            cluster.loop.run(SimulatedCluster.CANCELLATION_DEADLINE_S);
        });
    }

    @Test
    void machinesThatCannotSendHeartbeatsReceiveNoNewTasks() {
        forEachStep(1, step -> {
            startTasks(1, 3, 60);
            List<String> silentMachines = cluster.cloud.machineNames();
            cluster.net.injectFaults(
                    (from, to, call) -> silentMachines.contains(from) ? Delivery.LOST : Delivery.DELIVERED);
            cluster.loop.run(2.6 * SimulatedCluster.HEARTBEAT_INTERVAL_S);
            // The machines answer the stop commands, which proves that commands reach them. Their leases still expire.
            assertEquals("cancelled", cluster.cancel(cluster.follower(), "j-000001"));
            cluster.await(() -> cluster.runningTasks().isEmpty(), 2);
            cluster.submit(SimJobs.array(2, 2).put("expectS", 5.0));
            cluster.await(() -> cluster.taskStarts().size() == 5, 40);
            assertFalse(silentMachines.contains(cluster.runningTasks().get("j-000002/0")));
            assertFalse(silentMachines.contains(cluster.runningTasks().get("j-000002/1")));
        });
    }

    /**
     * Guards against a leader that releases a running task because of an old heartbeat. The machine started a new
     * incarnation when its lease expired, and the task runs in the new incarnation. The last heartbeat that the leader
     * accepted from the machine is from an earlier incarnation.
     */
    @Test
    void taskStartedByDirectCommandInNewIncarnationIsNotReleased() {
        forEachStep(30, step -> {
            startTasks(1, 1, 3);
            cluster.await(() -> cluster.runningTasks().isEmpty(), 10);
            cluster.cloud.limitCapacity(cluster.cloud.machineCount());
            String leader = cluster.leader();
            // Two tasks are being bound to a machine when the state service fails for longer than a lease.
            cluster.net.injectFaults((from, to, call) ->
                    SimStateService.isTransactionOn(call, "bound/") ? Delivery.LOST : Delivery.DELIVERED);
            cluster.submit(SimJobs.array(2, 1).put("expectS", 60.0));
            cluster.loop.run(0.3);
            cluster.submit(SimJobs.array(3, 1).put("expectS", 60.0));
            cluster.loop.run(0.3);
            double outageS = 2.5 * SimulatedCluster.LEASE_S + 0.07 * step;
            cluster.state.startOutage(outageS);
            cluster.loop.run(outageS - 1);
            // After the outage, the worker rejects the first start command, and its answer reports the new incarnation.
            // The binding of the second task is recorded shortly after. The second task then starts before the leader
            // accepts any heartbeat of the new incarnation.
            List<String> silentMachines = cluster.cloud.machineNames();
            cluster.net.injectFaults((from, to, call) -> silentMachines.contains(from)
                    ? Delivery.LOST
                    : call.target().equals("/txn") ? Delivery.SLOW : Delivery.DELIVERED);
            cluster.cloud.limitCapacity(Integer.MAX_VALUE);
            cluster.loop.run(12);
            assertEquals(leader, cluster.leader());
        });
    }

    @Test
    void jobsCompleteIfTheirTasksEndUnderDifferentLeaders() {
        forEachStep(5, step -> {
            cluster.cloud.limitCapacity(1);
            cluster.submit(SimJobs.array(1, 3).put("cpus", 8.0).put("expectS", 9.0));
            cluster.submit(SimJobs.array(2, 2).put("cpus", 8.0).put("expectS", 7.0));
            for (int i = 0; i < 4; i++) {
                cluster.loop.run(6 + step);
                cluster.nodes.crashLeader(1);
            }
        });
    }

    @Test
    void cancellationThroughFollowerIsExecutedWhileLeaderIsPartitioned() {
        forEachStep(5, step -> {
            startTasks(1, 2, 600);
            startTasks(2, 1, 30);
            String isolatedLeader = cluster.leader();
            String follower = cluster.follower();
            cluster.nodes.isolateFromPeers(isolatedLeader);
            cluster.net.refuseStateRequests(isolatedLeader, 25);
            cluster.loop.run(step * 3);
            assertEquals("cancelled", cluster.cancel(follower, "j-000001"));
            cluster.loop.run(SimulatedCluster.CANCELLATION_DEADLINE_S);
            cluster.nodes.reconnectToPeers(isolatedLeader);
        });
    }

    @Test
    void repeatedFailoversFollowedByCrashOfAllNodesLoseNoTask() {
        forEachStep(6, step -> {
            startTasks(1, 4, 40);
            String firstLeader = cluster.leader();
            cluster.net.refuseStateRequests(firstLeader, 9);
            cluster.awaitLeaderOtherThan(firstLeader, 30);
            String secondLeader = cluster.leader();
            cluster.net.refuseStateRequests(secondLeader, 9);
            cluster.awaitLeaderOtherThan(secondLeader, 30);
            List<String> nodes = List.of("n0", "n1", "n2");
            nodes.forEach(cluster.nodes::crash);
            cluster.loop.run(0.15 * step);
            cluster.nodes.start(secondLeader);
            cluster.loop.run(3);
        });
    }

    @Test
    void delayedTransactionsOverwriteNoNewerValues() {
        forEachStep(6, step -> {
            SplittableRandom random = new SplittableRandom(step);
            cluster.net.injectFaults((from, to, call) ->
                    call.target().equals("/txn") && random.nextInt(10) < 3 ? Delivery.DELAYED : Delivery.DELIVERED);
            for (int i = 1; i <= 5; i++) {
                cluster.submit(SimJobs.array(i, 2).put("expectS", 5.0));
                cluster.loop.run(3);
                if (i % 2 == 1) {
                    cluster.cancel(cluster.follower(), SimJobs.id(i));
                }
                if (i == 3) {
                    cluster.nodes.crashLeader(0.3);
                }
            }
            cluster.loop.run(20);
        });
    }

    /** The ten failovers happen within about two minutes. */
    @Test
    void cancellationMeetsDeadlineDespiteTenFailoversAndStateServiceOutage() {
        forEachStep(4, step -> {
            startTasks(1, 2, 600);
            cluster.submit(SimJobs.array(2, 6).put("expectS", 12.0));
            for (int i = 0; i < 10; i++) {
                cluster.loop.run(9 + step);
                if (i == 4) {
                    cluster.state.startOutage(10);
                    cluster.loop.run(2);
                }
                cluster.nodes.crashLeader(1 + 0.5 * step);
                if (i == 6) {
                    cluster.await(
                            () -> cluster.cancel(cluster.follower(), "j-000001").equals("cancelled"), 20);
                }
            }
        });
    }

    @Test
    void jobsConstrainedToOneZoneSurviveLossOfAllMachines() {
        forEachStep(4, step -> {
            cluster.submit(SimJobs.array(1, 3).put("samePlace", true).put("expectS", 15.0));
            cluster.submit(SimJobs.array(2, 1).put("grove", "z2").put("expectS", 15.0));
            cluster.await(() -> cluster.runningTasks().size() == 4, 60);
            cluster.loop.run(step);
            List.copyOf(cluster.cloud.workers()).forEach(cluster.cloud::crash);
            if (step % 2 == 1) {
                cluster.nodes.crashLeader(2);
            }
            cluster.loop.run(20);
        });
    }

    /** One node and one machine reach each other, but neither of them reaches any other process. */
    @Test
    void nodeAndMachinePartitionedTogetherForLongerThanLeaseLoseNoJob() {
        forEachStep(4, step -> {
            startTasks(1, 4, 50);
            String partitionedNode = step % 2 == 0 ? cluster.leader() : cluster.follower();
            List<String> partition =
                    List.of(partitionedNode, cluster.cloud.workers().get(0).name());
            cluster.nodes.isolateFromPeers(partitionedNode);
            cluster.net.injectFaults((from, to, call) -> {
                boolean isFromPartition = partition.contains(from);
                boolean isToPartition = to.equals(SimulatedCluster.address(partitionedNode))
                        || to.equals(SimWorker.address(partition.get(1)));
                return isFromPartition == isToPartition ? Delivery.DELIVERED : Delivery.HELD;
            });
            cluster.loop.run(3);
            String connectedNode = List.of("n0", "n1", "n2").stream()
                    .filter(n -> !n.equals(partitionedNode))
                    .findFirst()
                    .orElseThrow();
            if (step >= 2) {
                cluster.cancel(connectedNode, "j-000001");
            }
            cluster.loop.run(SimulatedCluster.LEASE_S + 10);
            cluster.nodes.reconnectToPeers(partitionedNode);
        });
    }

    @Test
    void outageOfAllNodesForLongerThanLeaseLosesNoJob() {
        forEachStep(3, step -> {
            startTasks(1, 2, 30);
            cluster.submit(SimJobs.array(2, 2).put("expectS", 30.0));
            cluster.loop.run(step * 0.05);
            List<String> nodes = List.of("n0", "n1", "n2");
            nodes.forEach(cluster.nodes::crash);
            cluster.loop.run(SimulatedCluster.LEASE_S + 3);
            nodes.forEach(cluster.nodes::start);
        });
    }

    @Test
    void delayedCommandOrLostAcknowledgementStartsNoTaskTwice() {
        forEachStep(6, step -> {
            cluster.net.injectFaults((from, to, call) -> call.target().equals("/do")
                    ? step % 2 == 0 ? Delivery.HELD : Delivery.RESPONSE_LOST
                    : Delivery.DELIVERED);
            cluster.submit(SimJobs.array(1, 2).put("expectS", 8.0));
            cluster.submit(SimJobs.array(2, 2).put("expectS", 300.0));
            cluster.loop.run(8 + step);
            cluster.await(() -> cluster.cancel(cluster.follower(), "j-000002").equals("cancelled"), 10);
            cluster.loop.run(step);
            cluster.net.deliverHeld();
            cluster.loop.run(SimulatedCluster.CANCELLATION_DEADLINE_S);
        });
    }

    /**
     * The state service refuses the leader for 8 s, and each response of the service is lost with a probability of
     * 30 %. After the requests to cancel the job, the service has an outage.
     */
    @Test
    void cancellationMeetsDeadlineDespiteStateServiceFaults() {
        forEachStep(4, step -> {
            startTasks(1, 2, 600);
            SplittableRandom random = new SplittableRandom(step);
            cluster.net.injectFaults((from, to, call) -> SimulatedCluster.isStateService(to) && random.nextInt(10) < 3
                    ? Delivery.RESPONSE_LOST
                    : Delivery.DELIVERED);
            cluster.net.refuseStateRequests(cluster.leader(), 8);
            for (int i = 0; i < 4; i++) {
                cluster.cancel(cluster.follower(), "j-000001");
                cluster.poll("j-000001");
            }
            cluster.state.startOutage(SimulatedCluster.CANCELLATION_DEADLINE_S + 3);
            cluster.loop.run(SimulatedCluster.CANCELLATION_DEADLINE_S + 3);
            assertFalse(cluster.runningTasks().containsKey("j-000001/0"));
        });
    }
}
