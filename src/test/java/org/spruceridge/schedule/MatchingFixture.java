package org.spruceridge.schedule;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import org.junit.jupiter.api.BeforeEach;
import org.spruceridge.cluster.Binding;
import org.spruceridge.cluster.Cluster;
import org.spruceridge.cluster.Job;
import org.spruceridge.cluster.JobKind;
import org.spruceridge.cluster.JobPriority;
import org.spruceridge.cluster.JobSpec;
import org.spruceridge.cluster.Machine;
import org.spruceridge.cluster.MachineKind;
import org.spruceridge.cluster.MachineType;
import org.spruceridge.cluster.Resources;
import org.spruceridge.config.Policy;
import org.spruceridge.config.Settings;
import org.spruceridge.sim.Fixtures;

/** Base class of matching tests. Provides a small cluster and helpers that add machines, jobs and running tasks. */
abstract class MatchingFixture {
    static final long NOW = 1_000_000_000_000L;
    static final long WALL_MS = 1_000_000;

    /** Team red has no quota; team blue has a quota of 12 CPUs. */
    static final Settings SETTINGS = Fixtures.settings(
            ImmutableMap.of(
                    "red", new Settings.Team("red", 0, 0, 0, 0),
                    "blue", new Settings.Team("blue", 4, 12, 0, 0)),
            new Settings.Workers(2, 14, 30),
            new Settings.State(100, 100, 4, 12),
            new Settings.Cloud(4, 2),
            new Settings.Resources(1, 100, 100));

    final Cluster cluster = new Cluster();
    final Matching matching = new Matching(SETTINGS, Policy.defaults(), 50);
    private int jobCount;

    @BeforeEach
    void addMachineTypes() {
        cluster.updateMachineTypes(ImmutableMap.of(
                "t8", new MachineType("t8", new Resources(8, 0, 32), 1, 1, 0.3, 20, ImmutableList.of("a", "b"))));
    }

    Machine addMachine(String name, String zone, boolean spot) {
        Machine machine = new Machine(name, "", new MachineKind("t8", zone, spot), NOW, NOW);
        machine.recordHeartbeat(1, 1, "", NOW);
        machine.fencing().fence();
        cluster.add(machine);
        return machine;
    }

    final class JobBuilder {
        String team = "red";
        JobPriority priority = JobPriority.NORMAL;
        int tasks = 1;
        double cpus = 4;
        Optional<ImmutableSet<String>> types = Optional.empty();
        Optional<String> zone = Optional.empty();
        boolean oneZone;
        boolean spread;
        boolean spot = true;
        double estimateS = 30;
        JobKind kind = JobKind.ARRAY;
        double checkpointIntervalS;
        OptionalDouble deadlineS = OptionalDouble.empty();

        Job add() {
            Job job = new Job(
                    new JobSpec(
                            "j-" + (++jobCount),
                            "c",
                            team,
                            kind,
                            priority,
                            tasks,
                            new Resources(cpus, 0, 1),
                            types,
                            zone,
                            oneZone,
                            spread,
                            spot,
                            "img",
                            1,
                            estimateS,
                            checkpointIntervalS,
                            1,
                            deadlineS),
                    1,
                    WALL_MS);
            cluster.add(job);
            return job;
        }
    }

    JobBuilder job() {
        return new JobBuilder();
    }

    Plan plan() {
        return matching.plan(cluster, NOW, WALL_MS);
    }

    static List<String> machineNames(Plan plan) {
        return plan.placements().stream().map(p -> p.machine().name()).toList();
    }

    Binding bindRunning(Job job, int index, Machine machine) {
        Binding binding = new Binding(job, index, 1, machine, Binding.Stage.COMMITTED, NOW);
        binding.recordPhase(Binding.Phase.RUNNING, NOW);
        cluster.bind(binding);
        return binding;
    }
}
