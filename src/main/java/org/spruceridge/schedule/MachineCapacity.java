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
    /**
     * Fullness is rounded to this step, because sums of decimal fractions have floating-point errors in their last
     * digits.
     */
    private static final double ROUNDING_STEP = 1e-6;

    private final Machine machine;
    private final MachineType type;
    private final int kindIndex;
    private Resources free;
    private int bindingCount;
    private int replicaCount;
    private boolean isReserved;
    private List<ExpectedRelease> releases;

    /** The resources that a running task is expected to free, and the time until then, in seconds. */
    private record ExpectedRelease(double delayS, Resources resources) {}

    /** {@code kindIndex} is the index of the machine's kind within the cycle. */
    MachineCapacity(Machine machine, MachineType type, int kindIndex) {
        this.machine = machine;
        this.type = type;
        this.kindIndex = kindIndex;
        this.free = type.capacity().minus(machine.used());
        this.bindingCount = machine.bindings().size();
        this.replicaCount = machine.replicaCount();
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

    /** The share of the machine's CPUs that is in use. Rounding makes equally full machines compare as equal. */
    double fullness() {
        return Math.rint((1 - free.cpus() / type.capacity().cpus()) / ROUNDING_STEP) * ROUNDING_STEP;
    }

    /**
     * Returns false if a task of the job has failed on this machine. A job that fails on many machines is itself the
     * likely cause, so every machine accepts that job.
     */
    boolean accepts(Job job) {
        return !machine.taskFailures().contains(job) || job.failsOnManyMachines();
    }

    boolean fits(Resources task) {
        return task.fitsIn(free);
    }

    /** The number of replicas on the machine, counted over all services and including the placements of this cycle. */
    int replicaCount() {
        return replicaCount;
    }

    void allocateReplica(Resources task) {
        allocate(task);
        replicaCount++;
    }

    void allocate(Resources task) {
        free = free.minus(task);
        bindingCount++;
    }

    boolean isReserved() {
        return isReserved;
    }

    /**
     * Reserves free capacity, up to the size of one task. Later candidates of this cycle cannot use the reserved
     * capacity.
     */
    void reserve(Resources task) {
        isReserved = true;
        free = free.minus(free.min(task));
    }

    /**
     * Returns the expected time until ending tasks have freed enough capacity for this task, in seconds. Returns
     * infinity if the ending tasks are not expected to free enough.
     */
    double secondsUntilFit(Resources task, RemainingTimeEstimator estimator, long now) {
        if (releases == null) {
            releases = releases(estimator, now);
        }
        double cpus = free.cpus();
        double gpus = free.gpus();
        double memGb = free.memGb();
        for (ExpectedRelease release : releases) {
            cpus += release.resources.cpus();
            gpus += release.resources.gpus();
            memGb += release.resources.memGb();
            if (task.fitsIn(cpus, gpus, memGb)) {
                return release.delayS;
            }
        }
        return Double.POSITIVE_INFINITY;
    }

    private List<ExpectedRelease> releases(RemainingTimeEstimator estimator, long now) {
        List<ExpectedRelease> expectedReleases =
                new ArrayList<>(machine.bindings().size());
        for (Binding binding : machine.bindings()) {
            if (!binding.isProvenGone() && binding.isExpectedToEnd()) {
                double remainingS = estimator.remainingS(binding.job().spec().estimateS(), binding.runTimeS(now));
                expectedReleases.add(
                        new ExpectedRelease(remainingS, binding.job().spec().taskResources()));
            }
        }
        expectedReleases.sort(Comparator.comparingDouble(ExpectedRelease::delayS));
        return expectedReleases;
    }
}
