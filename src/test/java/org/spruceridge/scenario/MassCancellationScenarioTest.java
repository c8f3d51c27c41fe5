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
 * Users cancel hundreds of jobs at once while leaders change. The simulated cluster fails each scenario in which a task
 * of a cancelled job is on a machine for longer than {@code cancel_s}.
 */
final class MassCancellationScenarioTest {
    private static final int JOBS = 200;
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

    /** Fills the given number of machines with long-running tasks of {@link #JOBS} jobs. */
    private void fillMachines(int nodes, int machines) {
        cluster = SimulatedCluster.ofSize(nodes, machines);
        cluster.awaitLeader(10);
        int tasksPerJob = 2 * machines / JOBS;
        List<ObjectNode> jobs = IntStream.range(0, JOBS)
                .mapToObj(i -> SimJobs.array(i, tasksPerJob).put("expectS", TASK_DURATION_S))
                .toList();
        cluster.users.submit(jobs, cluster.nodes.running(node -> true));
        cluster.await(() -> cluster.runningTasks().size() == JOBS * tasksPerJob, 200);
    }

    /** Partitions the leader from the state service and from the other nodes; returns its name. */
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
     * Guards against responses that renew a lease without stopping cancelled tasks: the first heartbeat of a worker to a
     * new leader carries an older fencing token, and if leaders change within each heartbeat interval, every heartbeat
     * is the first to its leader. Only a few jobs are cancelled, which keeps each failover short.
     */
    @Test
    void leaderTermsShorterThanHeartbeatIntervalStopCancelledTasks() {
        fillMachines(5, JOBS);
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
     * Guards against cancelled jobs that appear open while a failover reads their records one by one: the jobs are
     * cancelled while the leader is partitioned, the state service is slow, and the next leader crashes before it has
     * read them all.
     */
    @Test
    void newLeadersStopCancelledTasksWhileReadingJobs() {
        fillMachines(3, JOBS);
        String firstLeader = isolateLeader();
        cluster.net.injectFaults(
                (from, to, call) -> call.target().startsWith("/store/job/") ? Delivery.SLOW : Delivery.DELIVERED);
        cluster.users.cancel(jobIds(0, JOBS), cluster.nodes.running(node -> !node.equals(firstLeader)));
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
        assertTrue(failoverS < SimulatedCluster.LEASE_S / 2, "failover: " + failoverS + " s");
        cluster.verifyRecovery(120);
    }

    /**
     * Guards against cancelled jobs that appear open during a failover with fast reads: one record cannot be read at
     * all, so the failover does not complete although the other records are known.
     */
    @Test
    void newLeaderStopsCancelledTasksWhileOneRecordIsUnreadable() {
        fillMachines(3, JOBS);
        String firstLeader = isolateLeader();
        cluster.users.cancel(
                jobIds(0, CONCURRENT_CANCELLATIONS), cluster.nodes.running(node -> !node.equals(firstLeader)));
        cluster.await(() -> cluster.users.unansweredCount() == 0, 6);
        assertEquals(firstLeader, cluster.leader(), "its lease has not expired");
        cluster.net.injectFaults(
                (from, to, call) -> call.target().equals("/store/job/" + jobId(CONCURRENT_CANCELLATIONS - 1))
                        ? Delivery.LOST
                        : Delivery.DELIVERED);
        cluster.loop.run(SimulatedCluster.CANCELLATION_DEADLINE_S);
        cluster.verifyRecovery(600);
    }

    /**
     * Concurrent faults at full cluster size: a slow state service, a cloud outage, three leaders that crash in
     * sequence, and machines that hang, receive nothing, reach no node, or are partitioned together with one of the
     * nodes.
     */
    @ParameterizedTest
    @ValueSource(ints = {1640, 4000})
    void massCancellationDuringCombinedFaultsMeetsDeadline(int machines) {
        fillMachines(5, machines);
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
            boolean toIsolatedNode = to.equals(SimulatedCluster.address(isolatedNode));
            if (SimulatedCluster.isCloud(to)
                    || silentMachines.contains(from)
                    || (partitionedMachines.contains(from) && !toIsolatedNode)
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
        assertEquals(0, cluster.users.unansweredCount(), "unconfirmed cancellations");
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
