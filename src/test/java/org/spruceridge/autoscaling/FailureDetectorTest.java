package org.spruceridge.autoscaling;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.spruceridge.cluster.Cluster;
import org.spruceridge.cluster.Machine;
import org.spruceridge.cluster.MachineKind;
import org.spruceridge.config.Policy;
import org.spruceridge.config.Settings;
import org.spruceridge.sim.Fixtures;
import org.spruceridge.sim.SimLoop;

/** Tests which machines the failure detector declares dead because of missing heartbeats. */
final class FailureDetectorTest {
    private static final double HEARTBEAT_INTERVAL_S = 1.5;
    private static final double LEASE_S = 12;
    private static final int MACHINES = 15;
    private static final Settings SETTINGS = Fixtures.settings(
            ImmutableMap.of(),
            new Settings.Workers(HEARTBEAT_INTERVAL_S, LEASE_S, 32),
            new Settings.State(100, 100, 4, 12),
            new Settings.Cloud(1, 1),
            new Settings.Resources(1, 100, 1000));

    private final SimLoop loop = new SimLoop();
    private final Cluster cluster = new Cluster();
    private final FailureDetector detector = new FailureDetector(loop, cluster, SETTINGS, Policy.defaults());
    private final List<Machine> machines = new ArrayList<>();
    private long sequence;

    @BeforeEach
    void addMachines() {
        for (int i = 0; i < MACHINES; i++) {
            Machine machine = new Machine("i-" + i, "", new MachineKind("t", "a", true), loop.nanos(), loop.nanos());
            machine.recordHeartbeat(1, ++sequence, "", loop.nanos());
            machine.fencing().fence();
            cluster.add(machine);
            machines.add(machine);
        }
    }

    /**
     * Runs the loop for {@code seconds}. Every machine except {@code silent} sends one heartbeat per interval, and the
     * heartbeats are spread evenly over the interval. If {@code silent} is null, all machines send heartbeats.
     */
    private void sendHeartbeatsFromAllBut(Machine silent, double seconds) {
        for (int i = 0; i < seconds / HEARTBEAT_INTERVAL_S * MACHINES; i++) {
            Machine machine = machines.get(i % MACHINES);
            if (machine != silent) {
                machine.recordHeartbeat(1, ++sequence, "", loop.nanos());
            }
            loop.run(HEARTBEAT_INTERVAL_S / MACHINES);
        }
    }

    @Test
    void singleSilentMachineIsDeclaredDeadAfterHalfLease() {
        Machine silent = machines.get(3);
        sendHeartbeatsFromAllBut(silent, 5);
        assertEquals(List.of(), detector.findDeadMachines());
        sendHeartbeatsFromAllBut(silent, 2);
        assertEquals(List.of(silent), detector.findDeadMachines());
    }

    /**
     * Guards against deleting the machines of a partitioned zone. The machines whose last heartbeats are the oldest
     * reach the timeout of half a lease first. At that time most other machines of the zone still count as responsive.
     */
    @Test
    void machinesOfPartitionedZoneAreNotDeclaredDeadWithinThreeLeases() {
        sendHeartbeatsFromAllBut(null, 6);
        for (double elapsedS = 0; elapsedS < 3 * LEASE_S; elapsedS += 0.1) {
            loop.run(0.1);
            assertEquals(
                    List.of(),
                    detector.findDeadMachines(),
                    "no machine is declared dead " + elapsedS + " s after the partition");
        }
    }
}
