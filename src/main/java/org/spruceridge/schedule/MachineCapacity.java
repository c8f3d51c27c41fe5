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
    private final Machine machine;
    private final MachineType type;
    private final int kindIndex;
    private Resources free;
    private int bindingCount;
    private int replicaCount;
    private boolean isReserved;
    private List<ExpectedRelease> releases;

    /**
     * A time in seconds after which a running task is expected to end, and the resources that this task and those that
     * are expected to end before it will have freed by then.
     */
    private record ExpectedRelease(double delayS, Resources freed) {}

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

    /** The share of the machine's CPUs that is in use. */
    double fullness() {
        return 1 - free.cpus() / type.capacity().cpus();
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
        for (ExpectedRelease release : releases) {
            if (task.fitsInSum(free, release.freed)) {
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
        Resources freed = Resources.NONE;
        for (int i = 0; i < expectedReleases.size(); i++) {
            freed = freed.plus(expectedReleases.get(i).freed);
            expectedReleases.set(i, new ExpectedRelease(expectedReleases.get(i).delayS, freed));
        }
        return expectedReleases;
    }
}
