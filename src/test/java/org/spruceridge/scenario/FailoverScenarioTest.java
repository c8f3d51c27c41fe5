package org.spruceridge.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import org.junit.jupiter.api.Test;
import org.spruceridge.net.HttpCall;
import org.spruceridge.sim.SimJobs;
import org.spruceridge.sim.SimNet.Delivery;
import org.spruceridge.sim.SimStateService;
import org.spruceridge.sim.SimWorker;
import org.spruceridge.sim.SimulatedCluster;

/** A failover loses no task and violates no lease or quota, even if workers are silent or the failover takes long. */
final class FailoverScenarioTest {
    private final SimulatedCluster cluster = new SimulatedCluster(3);

    @Test
    void leaderCrashBetweenBindingCommitAndStartCommandStartsTaskOnce() {
        cluster.awaitLeader(10);
        // The state service commits the binding, but its answer is lost and the leader crashes.
        cluster.net.injectFaults((from, to, call) ->
                SimStateService.isTransactionOn(call, "bound/") ? Delivery.RESPONSE_LOST : Delivery.DELIVERED);
        cluster.submit(SimJobs.array(1, 1));
        cluster.await(() -> !cluster.cloud.workers().isEmpty(), 30);
        String firstLeader = cluster.leader();
        cluster.await(() -> cluster.hasBinding("j-000001"), 30);
        assertTrue(
                cluster.taskStarts().isEmpty(),
                "the task must not start before the leader learns that the binding is committed");
        cluster.nodes.crash(firstLeader);
        cluster.net.clearFaults();
        cluster.await(() -> cluster.poll("j-000001").equals("done"), 60);
        assertEquals(1, cluster.taskStarts().size());
    }

    @Test
    void failoverWaitsForLeaseExpiryOfSilentWorker() {
        cluster.awaitLeader(10);
        cluster.submit(SimJobs.array(1, 1).put("expectS", 25.0));
        cluster.await(() -> cluster.runningTasks().size() == 1, 30);
        SimWorker worker = cluster.cloud.workers().get(0);
        // The worker's heartbeats and all requests to the cloud are lost, and the leader crashes. The task keeps
        // running.
        cluster.net.injectFaults((from, to, call) ->
                from.equals(worker.name()) || SimulatedCluster.isCloud(to) ? Delivery.LOST : Delivery.DELIVERED);
        cluster.nodes.crash(cluster.leader());
        cluster.awaitLeader(30);
        cluster.loop.run(4);
        assertEquals(1, cluster.runningTasks().size(), "the silent worker must still run the task");
        assertEquals(1, cluster.taskStarts().size());
        cluster.net.clearFaults();
        cluster.net.injectFaults((from, to, call) -> from.equals(worker.name()) ? Delivery.LOST : Delivery.DELIVERED);
        cluster.await(() -> cluster.poll("j-000001").equals("done"), 120);
        assertEquals(2, cluster.taskStarts().size());
    }

    @Test
    void quotaHoldsDuringFailoverWithSilentWorkers() {
        cluster.awaitLeader(10);
        cluster.submit(SimJobs.array(1, 4).put("expectS", 30.0));
        cluster.await(() -> cluster.runningTasks().size() == 4, 40); // the tasks use the whole quota of the team
        cluster.net.injectFaults((from, to, call) ->
                from.startsWith("i-") || SimulatedCluster.isCloud(to) ? Delivery.LOST : Delivery.DELIVERED);
        cluster.nodes.crash(cluster.leader());
        cluster.submit(SimJobs.array(2, 4).put("expectS", 30.0));
        cluster.awaitLeader(30);
        cluster.loop.run(5);
        cluster.net.clearFaults();
        cluster.loop.run(200);
        // The simulated cluster fails the scenario if a start exceeds the quota.
        assertEquals(8, cluster.completedTasks().size());
    }

    @Test
    void newLeaderWaitsOneLeaseBeforeDeletingSilentMachine() {
        cluster.awaitLeader(10);
        // One task fills the memory of a machine, so the zone has four machines. Three of them keep sending heartbeats.
        cluster.submit(SimJobs.array(1, 4).put("memGb", 20.0).put("grove", "z1").put("expectS", 40.0));
        cluster.await(() -> cluster.runningTasks().size() == 4, 40);
        int machinesBefore = cluster.cloud.machineCount();
        SimWorker silentWorker = cluster.cloud.workers().get(0);
        cluster.net.injectFaults((from, to, call) ->
                from.equals(silentWorker.name()) || to.equals(SimWorker.address(silentWorker.name()))
                        ? Delivery.LOST
                        : Delivery.DELIVERED);
        cluster.nodes.crashLeader(0.1);
        cluster.loop.run(SimulatedCluster.LEASE_S * 0.75);
        assertNotNull(cluster.leader());
        assertEquals(
                machinesBefore,
                cluster.cloud.machineCount(),
                "the silent worker must keep its machine while it might still be locating the leader");
        cluster.net.clearFaults();
        cluster.await(() -> cluster.poll("j-000001").equals("done"), 60);
        assertEquals(4, cluster.taskStarts().size());
    }

    /**
     * Guards against a leader that treats valid leases as expired. A new leader answers workers, and so renews their
     * leases, before it has read the bindings of their machines. It reads the bindings more than one lease duration
     * later, when it can no longer reach the machines of the first job.
     */
    @Test
    void leasesRenewedDuringFailoverDelayTaskRelease() {
        cluster.awaitLeader(10);
        cluster.submit(SimJobs.array(1, 2).put("expectS", 90.0));
        cluster.await(() -> cluster.runningTasks().size() == 2, 40);
        Set<String> unreachableMachines = Set.copyOf(cluster.runningTasks().values());
        cluster.submit(SimJobs.array(2, 2).put("expectS", 10.0));
        cluster.await(() -> cluster.runningTasks().size() == 4, 40);
        cluster.net.injectFaults((from, to, call) -> listsMachines(call) ? Delivery.LOST : Delivery.DELIVERED);
        cluster.nodes.crashLeader(1);
        cluster.awaitLeader(10);
        cluster.loop.run(SimulatedCluster.LEASE_S - 2);
        assertTrue(
                cluster.completedTasks().contains("j-000002/0"),
                "a task of the second job must have ended, so that a reachable machine has capacity");
        cluster.net.injectFaults((from, to, call) ->
                unreachableMachines.contains(from) || listsMachines(call) ? Delivery.LOST : Delivery.DELIVERED);
        cluster.loop.run(4);
        cluster.net.injectFaults(
                (from, to, call) -> unreachableMachines.contains(from) ? Delivery.LOST : Delivery.DELIVERED);
        cluster.loop.run(2 * SimulatedCluster.LEASE_S);
        cluster.verifyRecovery(200);
    }

    private static boolean listsMachines(HttpCall call) {
        return call.target().startsWith("/store?starts=bound/");
    }
}
