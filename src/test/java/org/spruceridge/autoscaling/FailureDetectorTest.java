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

/** Which machines are given up for their silence, and which are not. */
final class FailureDetectorTest {
    private static final double REPORT_S = 1.5;
    private static final double LEASE_S = 12;
    private static final int MACHINES = 15;
    private static final Settings SETTINGS = Fixtures.settings(
            ImmutableMap.of(),
            new Settings.Workers(REPORT_S, LEASE_S, 32),
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
            Machine m = new Machine("i-" + i, "", new MachineKind("t", "a", true), loop.nanos(), loop.nanos());
            m.recordHeartbeat(1, ++sequence, "", loop.nanos());
            m.lease().fence();
            cluster.add(m);
            machines.add(m);
        }
    }

    /** Each machine but one reports once a period, one after the other, for some seconds. */
    private void reportsOfAllBut(Machine silent, double seconds) {
        for (int i = 0; i < seconds / REPORT_S * MACHINES; i++) {
            Machine m = machines.get(i % MACHINES);
            if (m != silent) {
                m.recordHeartbeat(1, ++sequence, "", loop.nanos());
            }
            loop.run(REPORT_S / MACHINES);
        }
    }

    @Test
    void aMachineThatIsSilentAloneIsGivenUpAfterHalfALease() {
        Machine silent = machines.get(3);
        reportsOfAllBut(silent, 5);
        assertEquals(List.of(), detector.lost());
        reportsOfAllBut(silent, 2);
        assertEquals(List.of(silent), detector.lost());
    }

    /** Those that reported first before the cut are silent for half a lease while most others are not yet. */
    @Test
    void noneOfAZoneThatIsCutOffIsGivenUpBeforeTheOthers() {
        reportsOfAllBut(null, 6);
        for (double s = 0; s < 3 * LEASE_S; s += 0.1) {
            loop.run(0.1);
            assertEquals(List.of(), detector.lost(), s + " s after the cut");
        }
    }
}
