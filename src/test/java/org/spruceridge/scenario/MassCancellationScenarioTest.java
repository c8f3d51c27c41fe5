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
 * Users cancel hundreds of jobs at once while leaders change. The simulated cluster fails each scenario in which a task of
 * a cancelled job is on a machine for longer than {@code cancel_s}.
 */
final class MassCancellationScenarioTest {
    private static final int JOBS = 200;
    private static final double RUN_S = 200;
    private static final int CONCURRENT_CANCELLATIONS = 60;
    private static final int FEW = 8;
    private static final int MOST = 160;

    private SimulatedCluster cluster;

    private static String id(int number) {
        return SimJobs.id(number);
    }

    private static List<String> ids(int from, int to) {
        return IntStream.range(from, to)
                .mapToObj(MassCancellationScenarioTest::id)
                .toList();
    }

    /** Fills so many machines with the tasks of {@link #JOBS} jobs that run for long. */
    private void fillMachines(int nodes, int machines) {
        cluster = SimulatedCluster.ofSize(nodes, machines);
        cluster.awaitLeader(10);
        int tasks = 2 * machines / JOBS;
        List<ObjectNode> jobs = IntStream.range(0, JOBS)
                .mapToObj(i -> SimJobs.array(i, tasks).put("expectS", RUN_S))
                .toList();
        cluster.users.submit(jobs, cluster.nodes.running(node -> true));
        cluster.await(() -> cluster.running().size() == JOBS * tasks, 200);
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
     * Guards against answers that renew a lease without stopping cancelled tasks: the first heartbeat of a worker to a new
     * leader carries an older fencing token, and if leaders change within a heartbeat interval every heartbeat is the first.
     * Only a few jobs are cancelled, so that each failover is short.
     */
    @Test
    void leadersShorterThanAHeartbeatIntervalStopCancelledTasks() {
        fillMachines(5, JOBS);
        cluster.nodes.crashLeader(0.2);
        cluster.users.cancel(ids(0, FEW), cluster.nodes.running(node -> true));
        for (double s = 0;
                s < SimulatedCluster.CANCELLATION_DEADLINE_S + 5;
                s += SimulatedCluster.HEARTBEAT_INTERVAL_S / 2) {
            cluster.loop.run(SimulatedCluster.HEARTBEAT_INTERVAL_S / 2);
            cluster.nodes.crashLeader(0.2);
        }
        cluster.verifyRecovery(600);
    }

    /**
     * Guards against jobs that appear open while a failover reads their records one by one: jobs are cancelled while the
     * leader is partitioned, the state service is slow, and the next leader crashes before it has read them all.
     */
    @Test
    void newLeadersStopCancelledTasksWhileReadingJobs() {
        fillMachines(3, JOBS);
        String first = isolateLeader();
        cluster.net.injectFaults(
                (from, to, call) -> call.target().startsWith("/store/job/") ? Delivery.SLOW : Delivery.DELIVERED);
        cluster.users.cancel(ids(0, JOBS), cluster.nodes.running(node -> !node.equals(first)));
        cluster.awaitLeaderOtherThan(first, 20);
        String second = cluster.leader();
        cluster.loop.run(6);
        cluster.nodes.crash(second);
        cluster.loop.run(SimulatedCluster.CANCELLATION_DEADLINE_S);
        assertTrue(cluster.running().isEmpty());
        double failoverS = cluster.metrics(cluster.leader())
                .path("failovers")
                .path("lastS")
                .asDouble();
        assertTrue(failoverS < SimulatedCluster.LEASE_S / 2, "failover: " + failoverS + " s");
        cluster.verifyRecovery(120);
    }

    /**
     * Guards against the same if records are read fast: one of them cannot be read at all, so that the failover does not
     * complete although the others are known.
     */
    @Test
    void newLeaderStopsCancelledTasksWhileOneRecordIsUnreadable() {
        fillMachines(3, JOBS);
        String first = isolateLeader();
        cluster.users.cancel(ids(0, CONCURRENT_CANCELLATIONS), cluster.nodes.running(node -> !node.equals(first)));
        cluster.await(() -> cluster.users.unansweredCount() == 0, 6);
        assertEquals(first, cluster.leader(), "its lease has not expired");
        cluster.net.injectFaults(
                (from, to, call) -> call.target().equals("/store/job/" + id(CONCURRENT_CANCELLATIONS - 1))
                        ? Delivery.LOST
                        : Delivery.DELIVERED);
        cluster.loop.run(SimulatedCluster.CANCELLATION_DEADLINE_S);
        cluster.verifyRecovery(600);
    }

    /**
     * Concurrent faults at full size: a slow state service, a cloud outage, machines that hang, that receive nothing, that
     * reach no node, or that are partitioned with one of the nodes, and three leaders that crash in sequence.
     */
    @ParameterizedTest
    @ValueSource(ints = {1640, 4000})
    void massCancellationDuringCombinedFaultsMeetsDeadline(int machines) {
        fillMachines(5, machines);
        String first = isolateLeader();
        List<SimWorker> workers = cluster.cloud.workers();
        workers.stream().filter(w -> everyTenth(w, 0)).forEach(SimWorker::hang);
        Set<String> unreachable = names(workers, 1);
        Set<Address> unreachableAddresses =
                unreachable.stream().map(SimWorker::address).collect(Collectors.toSet());
        Set<String> silent = names(workers, 2);
        Set<String> unreachableMachines = names(workers, 3);
        String isolatedNode = cluster.follower();
        isolate(isolatedNode);
        cluster.net.injectFaults((from, to, call) -> {
            boolean toIsolatedNode = to.equals(SimulatedCluster.address(isolatedNode));
            if (SimulatedCluster.isCloud(to)
                    || silent.contains(from)
                    || (unreachableMachines.contains(from) && !toIsolatedNode)
                    || (call.target().equals("/do") && unreachableAddresses.contains(to))) {
                return Delivery.LOST;
            }
            if (unreachable.contains(from)) {
                return Delivery.ANSWER_LOST;
            }
            return SimulatedCluster.isStateService(to) ? Delivery.SLOW : Delivery.DELIVERED;
        });
        List<String> serving = cluster.nodes.running(node -> !node.equals(first) && !node.equals(isolatedNode));
        cluster.users.cancel(ids(0, MOST), serving);
        for (int i = 0; i < 3; i++) {
            cluster.awaitLeaderOtherThan(first, SimulatedCluster.LEASE_S);
            cluster.loop.run(SimulatedCluster.HEARTBEAT_INTERVAL_S);
            cluster.nodes.crash(cluster.leader());
            cluster.loop.run(1);
            serving.forEach(cluster.nodes::startIfStopped);
        }
        cluster.loop.run(SimulatedCluster.CANCELLATION_DEADLINE_S);
        assertEquals(0, cluster.users.unansweredCount(), "unconfirmed cancellations");
        Set<String> cancelled = Set.copyOf(ids(0, MOST));
        assertTrue(cluster.running().keySet().stream().noneMatch(part -> cancelled.contains(part.split("/")[0])));
    }

    private static boolean everyTenth(SimWorker worker, int remainder) {
        return Integer.parseInt(worker.name().substring(2)) % 10 == remainder;
    }

    private static Set<String> names(List<SimWorker> workers, int remainder) {
        return workers.stream()
                .filter(w -> everyTenth(w, remainder))
                .map(SimWorker::name)
                .collect(Collectors.toSet());
    }
}
