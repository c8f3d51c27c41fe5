package org.spruceridge.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.spruceridge.config.Address;
import org.spruceridge.sim.SimJobs;
import org.spruceridge.sim.SimNet.Delivery;
import org.spruceridge.sim.SimWorker;
import org.spruceridge.sim.SimulatedCluster;

/**
 * Users cancel up to 200 jobs at once while leaders change. The simulated cluster fails a scenario if a task of a
 * cancelled job is still on a machine {@code cancel_s} seconds after a user received the confirmation of the
 * cancellation.
 */
final class MassCancellationScenarioTest {
    private static final int JOB_COUNT = 200;
    private static final double TASK_DURATION_S = 200;
    private static final int CONCURRENT_CANCELLATIONS = 60;
    private static final int FEW_CANCELLATIONS = 8;
    private static final int MASS_CANCELLATIONS = 160;

    private SimulatedCluster cluster;

    private static String jobId(int number) {
        return SimJobs.id(number);
    }

    private static List<String> jobIds(int from, int to) {
        return IntStream.range(from, to)
                .mapToObj(MassCancellationScenarioTest::jobId)
                .toList();
    }

    /** Starts a cluster and fills this number of machines with long-running tasks of {@link #JOB_COUNT} jobs. */
    private void fillMachines(int nodeCount, int machineCount) {
        cluster = SimulatedCluster.ofSize(nodeCount, machineCount);
        cluster.awaitLeader(10);
        int tasksPerJob = 2 * machineCount / JOB_COUNT;
        List<ObjectNode> jobs = IntStream.range(0, JOB_COUNT)
                .mapToObj(i -> SimJobs.array(i, tasksPerJob).put("expectS", TASK_DURATION_S))
                .toList();
        cluster.users.submit(jobs, cluster.nodes.running(node -> true));
        cluster.await(() -> cluster.runningTasks().size() == JOB_COUNT * tasksPerJob, 200);
    }

    /** Partitions the leader from the state service and from the other nodes; returns the leader's name. */
    private String isolateLeader() {
        String leader = cluster.leader();
        isolate(leader);
        return leader;
    }

    private void isolate(String node) {
        cluster.nodes.isolateFromPeers(node);
        cluster.net.refuseStateRequests(node, 2 * SimulatedCluster.CANCELLATION_DEADLINE_S);
    }

    /**
     * Guards against answers that renew a lease but do not stop cancelled tasks. The first heartbeat of a worker to a
     * new leader carries an outdated fencing token, so the leader only renews the lease and must add the stops to its
     * answer. Here leaders change within each heartbeat interval, so every heartbeat is the first to its leader. Only a
     * few jobs are cancelled, which keeps each failover short.
     */
    @Test
    void cancelledTasksStopDespiteLeaderTermsShorterThanHeartbeatInterval() {
        fillMachines(5, JOB_COUNT);
        cluster.nodes.crashLeader(0.2);
        cluster.users.cancel(jobIds(0, FEW_CANCELLATIONS), cluster.nodes.running(node -> true));
        for (double elapsedS = 0;
                elapsedS < SimulatedCluster.CANCELLATION_DEADLINE_S + 5;
                elapsedS += SimulatedCluster.HEARTBEAT_INTERVAL_S / 2) {
            cluster.loop.run(SimulatedCluster.HEARTBEAT_INTERVAL_S / 2);
            cluster.nodes.crashLeader(0.2);
        }
        cluster.verifyRecovery(600);
    }

    /**
     * Guards against a failover that treats cancelled jobs as open while it reads their records one by one. Users
     * cancel the jobs while the leader is partitioned. The state service is slow, and the next leader crashes before it
     * has read all the records.
     */
    @Test
    void newLeadersStopCancelledTasksWhileReadingJobs() {
        fillMachines(3, JOB_COUNT);
        String firstLeader = isolateLeader();
        cluster.net.injectFaults(
                (from, to, call) -> call.target().startsWith("/store/job/") ? Delivery.SLOW : Delivery.DELIVERED);
        cluster.users.cancel(jobIds(0, JOB_COUNT), cluster.nodes.running(node -> !node.equals(firstLeader)));
        cluster.awaitLeaderOtherThan(firstLeader, 20);
        String secondLeader = cluster.leader();
        cluster.loop.run(6);
        cluster.nodes.crash(secondLeader);
        cluster.loop.run(SimulatedCluster.CANCELLATION_DEADLINE_S);
        assertTrue(cluster.runningTasks().isEmpty());
        double failoverS = cluster.metrics(cluster.leader())
                .path("failovers")
                .path("lastS")
                .asDouble();
        assertTrue(
                failoverS < SimulatedCluster.LEASE_S / 2,
                "the failover must take less than half a lease but took " + failoverS + " s");
        cluster.verifyRecovery(120);
    }

    /**
     * A new leader must stop cancelled tasks even if its failover does not complete. The failover does not complete
     * because one record cannot be read. All other records are read fast, so the leader knows them.
     */
    @Test
    void newLeaderStopsCancelledTasksWhileOneRecordIsUnreadable() {
        fillMachines(3, JOB_COUNT);
        String firstLeader = isolateLeader();
        cluster.users.cancel(
                jobIds(0, CONCURRENT_CANCELLATIONS), cluster.nodes.running(node -> !node.equals(firstLeader)));
        cluster.await(() -> cluster.users.unansweredCount() == 0, 6);
        assertEquals(firstLeader, cluster.leader(), "the lease of the first leader must not have expired yet");
        cluster.net.injectFaults(
                (from, to, call) -> call.target().equals("/store/job/" + jobId(CONCURRENT_CANCELLATIONS - 1))
                        ? Delivery.LOST
                        : Delivery.DELIVERED);
        cluster.loop.run(SimulatedCluster.CANCELLATION_DEADLINE_S);
        cluster.verifyRecovery(600);
    }

    /**
     * Combines faults in a cluster of full size: a slow state service, a cloud outage, three leaders that crash one
     * after another, and four groups of faulty machines. The machines of a group hang, receive nothing, reach no node,
     * or reach only one node that is partitioned too.
     */
    @ParameterizedTest
    @ValueSource(ints = {1640, 4000})
    void massCancellationDuringCombinedFaultsMeetsDeadline(int machineCount) {
        fillMachines(5, machineCount);
        String firstLeader = isolateLeader();
        List<SimWorker> workers = cluster.cloud.workers();
        workers.stream().filter(w -> isInGroup(w, 0)).forEach(SimWorker::hang);
        Set<String> machinesReceivingNothing = namesInGroup(workers, 1);
        Set<Address> addressesReceivingNothing =
                machinesReceivingNothing.stream().map(SimWorker::address).collect(Collectors.toSet());
        Set<String> silentMachines = namesInGroup(workers, 2);
        Set<String> partitionedMachines = namesInGroup(workers, 3);
        String isolatedNode = cluster.follower();
        isolate(isolatedNode);
        cluster.net.injectFaults((from, to, call) -> {
            boolean isToIsolatedNode = to.equals(SimulatedCluster.address(isolatedNode));
            if (SimulatedCluster.isCloud(to)
                    || silentMachines.contains(from)
                    || (partitionedMachines.contains(from) && !isToIsolatedNode)
                    || (call.target().equals("/do") && addressesReceivingNothing.contains(to))) {
                return Delivery.LOST;
            }
            if (machinesReceivingNothing.contains(from)) {
                return Delivery.RESPONSE_LOST;
            }
            return SimulatedCluster.isStateService(to) ? Delivery.SLOW : Delivery.DELIVERED;
        });
        List<String> connectedNodes =
                cluster.nodes.running(node -> !node.equals(firstLeader) && !node.equals(isolatedNode));
        cluster.users.cancel(jobIds(0, MASS_CANCELLATIONS), connectedNodes);
        for (int i = 0; i < 3; i++) {
            cluster.awaitLeaderOtherThan(firstLeader, SimulatedCluster.LEASE_S);
            cluster.loop.run(SimulatedCluster.HEARTBEAT_INTERVAL_S);
            cluster.nodes.crash(cluster.leader());
            cluster.loop.run(1);
            connectedNodes.forEach(cluster.nodes::startIfStopped);
        }
        cluster.loop.run(SimulatedCluster.CANCELLATION_DEADLINE_S);
        assertEquals(0, cluster.users.unansweredCount(), "every cancellation must be confirmed to its user");
        Set<String> cancelled = Set.copyOf(jobIds(0, MASS_CANCELLATIONS));
        assertTrue(cluster.runningTasks().keySet().stream().noneMatch(task -> cancelled.contains(task.split("/")[0])));
    }

    private static boolean isInGroup(SimWorker worker, int group) {
        return Integer.parseInt(worker.name().substring(2)) % 10 == group;
    }

    private static Set<String> namesInGroup(List<SimWorker> workers, int group) {
        return workers.stream()
                .filter(w -> isInGroup(w, group))
                .map(SimWorker::name)
                .collect(Collectors.toSet());
    }
}
