package org.spruceridge.schedule;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.spruceridge.cluster.Binding;
import org.spruceridge.cluster.JobPriority;
import org.spruceridge.cluster.JobSpec;
import org.spruceridge.cluster.Resources;

/** A machine considered for an urgent task: its expected free capacity, and the running tasks that can be preempted. */
final class PreemptionTarget {
    private final MachineCapacity capacity;
    /** The running tasks that can be preempted, in ascending order of lost work. */
    private final List<Victim> victims;

    private Resources expectedFree;

    /** A running task that can be preempted, and the work that its preemption would lose, in seconds. */
    record Victim(PreemptionTarget target, Binding binding, double lostWorkS) {}

    /** {@code canPreempt} is false if the last preemption on the machine is too recent for another one. */
    PreemptionTarget(MachineCapacity capacity, boolean canPreempt, long now) {
        this.capacity = capacity;
        this.expectedFree = expectedFree(capacity);
        this.victims = canPreempt ? victims(now) : new ArrayList<>();
    }

    /** The free capacity of the machine plus the resources of tasks that are being stopped or have ended. */
    private static Resources expectedFree(MachineCapacity capacity) {
        Resources expected = capacity.free();
        for (Binding binding : capacity.machine().bindings()) {
            boolean isReleasing = binding.stopMode() != Binding.StopMode.NONE || binding.phase() == Binding.Phase.ENDED;
            expected = isReleasing && !binding.isProvenGone()
                    ? expected.plus(binding.job().spec().taskResources())
                    : expected;
        }
        return expected;
    }

    private List<Victim> victims(long now) {
        List<Victim> preemptible = new ArrayList<>(capacity.machine().bindings().size());
        for (Binding binding : capacity.machine().bindings()) {
            boolean isRunning = binding.phase() == Binding.Phase.RUNNING || binding.phase() == Binding.Phase.FETCHING;
            if (isRunning && binding.stopMode() == Binding.StopMode.NONE) {
                preemptible.add(new Victim(this, binding, lostWorkS(binding, now)));
            }
        }
        preemptible.sort(Comparator.comparingDouble(Victim::lostWorkS));
        return preemptible;
    }

    /**
     * Returns the work that a preemption loses, in seconds. The loss is the checkpoint duration if the task can
     * checkpoint, and otherwise the whole run time so far. The loss is infinite for services, which are preempted last.
     */
    private static double lostWorkS(Binding binding, long now) {
        JobSpec spec = binding.job().spec();
        if (spec.isService()) {
            return Double.POSITIVE_INFINITY;
        }
        return spec.canCheckpoint() ? spec.checkpointDurationS() : binding.runTimeS(now);
    }

    MachineCapacity capacity() {
        return capacity;
    }

    /**
     * Returns true if the smallest task fits into the expected free capacity, or if the highest priority outranks the
     * priority of a victim. Otherwise no task that is at least this large and has at most this priority can run here.
     */
    boolean canHost(Resources smallestTask, JobPriority highestPriority) {
        if (smallestTask.fitsIn(expectedFree)) {
            return true;
        }
        // Index loops here and below avoid iterators: one iterator per machine and job would account for most of a
        // cycle's allocations.
        for (int i = 0; i < victims.size(); i++) {
            if (highestPriority.outranks(victims.get(i).binding.job().spec().priority())) {
                return true;
            }
        }
        return false;
    }

    /**
     * Claims expected free capacity for up to {@code wanted} tasks of this size. Returns the number of tasks that fit.
     */
    int claim(Resources task, int wanted) {
        if (!task.fitsIn(expectedFree)) {
            return 0;
        }
        int count = Math.min(wanted, expectedFree.countFittingTasks(task));
        for (int i = 0; i < count; i++) {
            expectedFree = expectedFree.minus(task);
        }
        return count;
    }

    /**
     * Returns the victim with the least lost work whose preemption makes room for a task of this job. Returns null if
     * there is no such victim, because Optional would allocate on the hot path.
     */
    Victim cheapestVictim(JobSpec spec) {
        for (int i = 0; i < victims.size(); i++) {
            JobSpec victimSpec = victims.get(i).binding.job().spec();
            if (spec.priority().outranks(victimSpec.priority())
                    && fitsAfter(spec.taskResources(), victimSpec.taskResources())) {
                return victims.get(i);
            }
        }
        return null;
    }

    private boolean fitsAfter(Resources task, Resources freed) {
        return task.fitsInSum(expectedFree, freed);
    }

    /**
     * Preempts the victim and claims the free capacity for up to {@code wanted} tasks of this size. Returns the number
     * of tasks that fit. No other task on this machine is preempted in this cycle.
     */
    int preempt(Victim victim, Resources task, int wanted) {
        expectedFree = expectedFree.plus(victim.binding.job().spec().taskResources());
        victims.clear();
        return claim(task, wanted);
    }
}
