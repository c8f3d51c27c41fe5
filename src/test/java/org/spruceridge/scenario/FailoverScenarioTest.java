package org.spruceridge.scenario;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import org.junit.jupiter.api.Test;
import org.spruceridge.net.HttpCall;
import org.spruceridge.sim.SimNet.Delivery;
import org.spruceridge.sim.SimulatedCluster;

/** Failovers that take long: workers are answered meanwhile. */
final class FailoverScenarioTest {
    private final SimulatedCluster cluster = new SimulatedCluster(3);

    /**
     * Guards against leases that are taken for over while they run: a new leader answers workers before it has read which
     * machines there are, reads that only after more than a lease, and by then the machines cannot be reached.
     */
    @Test
    void leasesRenewedDuringFailoverDelayReleaseOfTheirTasks() {
        cluster.awaitLeader(10);
        cluster.submit(SimulatedCluster.job(1, 2).put("expectS", 90.0));
        cluster.await(() -> cluster.running().size() == 2, 40);
        Set<String> unreachableMachines = Set.copyOf(cluster.running().values());
        cluster.submit(SimulatedCluster.job(2, 2).put("expectS", 10.0));
        cluster.await(() -> cluster.running().size() == 4, 40);
        cluster.net.injectFaults((from, to, call) -> listsMachines(call) ? Delivery.LOST : Delivery.DELIVERED);
        cluster.crashLeader(1);
        cluster.awaitLeader(10);
        cluster.loop.run(SimulatedCluster.LEASE_S - 2);
        assertTrue(cluster.completed().contains("j-000002/0"), "there is room on a machine that can be reached");
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
