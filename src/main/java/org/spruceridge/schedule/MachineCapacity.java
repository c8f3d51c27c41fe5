package org.spruceridge.schedule;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.spruceridge.cluster.Binding;
import org.spruceridge.cluster.Job;
import org.spruceridge.cluster.Machine;
import org.spruceridge.cluster.MachineType;
import org.spruceridge.cluster.Resources;

/** The free capacity of one machine in the working copy of a scheduling cycle. */
final class MachineCapacity {
    /** Sums of decimal amounts may be off in the last places. */
    private static final double ROUNDING_STEP = 1e-6;

    private final Machine machine;
    private final MachineType type;
    private final int kindIndex;
    private Resources free;
    private int bindingCount;
    private int replicas;
    private boolean reserved;
    private List<ExpectedRelease> releases;

    /** A running task: when it is expected to end, and what it will free. */
    private record ExpectedRelease(double inS, Resources resources) {}

    /** {@code kindIndex} numbers the machine's kind within the cycle. */
    MachineCapacity(Machine machine, MachineType type, int kindIndex) {
        this.machine = machine;
        this.type = type;
        this.kindIndex = kindIndex;
        this.free = type.capacity().minus(machine.used());
        this.bindingCount = machine.bindings().size();
        this.replicas = machine.replicas();
    }

    Machine machine() {
        return machine;
    }

    int kindIndex() {
        return kindIndex;
    }

    Resources free() {
        return free;
    }

    int bindingCount() {
        return bindingCount;
    }

    /** The share of the machine's CPUs that is taken, without rounding errors. */
    double fullness() {
        return Math.rint((1 - free.cpus() / type.capacity().cpus()) / ROUNDING_STEP) * ROUNDING_STEP;
    }

    /** True unless tasks of this job failed on the machine and the machine is to blame. */
    boolean accepts(Job job) {
        return job.failedMachines().isEmpty()
                || job.failsOnManyMachines()
                || !job.failedMachines().contains(machine.name());
    }

    boolean fits(Resources task) {
        return task.fitsIn(free);
    }

    /** How many replicas of services are on the machine. */
    int replicas() {
        return replicas;
    }

    void takeReplica(Resources task) {
        take(task);
        replicas++;
    }

    void take(Resources task) {
        free = free.minus(task);
        bindingCount++;
    }

    boolean reserved() {
        return reserved;
    }

    /** Withholds what is free, up to the size of one task, from the candidates that follow in this cycle. */
    void reserve(Resources task) {
        reserved = true;
        free = free.minus(free.min(task));
    }

    /** Seconds until the tasks on the machine will have left enough for this task; infinite if they never will. */
    double secondsUntilFit(Resources task, Estimates estimates, long now) {
        if (releases == null) {
            releases = releases(estimates, now);
        }
        double cpus = free.cpus();
        double gpus = free.gpus();
        double memGb = free.memGb();
        for (ExpectedRelease next : releases) {
            cpus += next.resources.cpus();
            gpus += next.resources.gpus();
            memGb += next.resources.memGb();
            if (task.fitsIn(cpus, gpus, memGb)) {
                return next.inS;
            }
        }
        return Double.POSITIVE_INFINITY;
    }

    private List<ExpectedRelease> releases(Estimates estimates, long now) {
        List<ExpectedRelease> expectedReleases =
                new ArrayList<>(machine.bindings().size());
        for (Binding binding : machine.bindings()) {
            if (!binding.isProvenGone() && binding.isExpectedToEnd()) {
                double remainingS = estimates.remainingS(binding.job().spec().estimateS(), binding.elapsedS(now));
                expectedReleases.add(
                        new ExpectedRelease(remainingS, binding.job().spec().task()));
            }
        }
        expectedReleases.sort(Comparator.comparingDouble(ExpectedRelease::inS));
        return expectedReleases;
    }
}
