package org.spruceridge.schedule;

import java.util.ArrayList;
import java.util.List;
import org.spruceridge.cluster.Resources;

/** The machines of one group that still have room for some waiting task in this cycle. */
final class GroupCapacity {
    private final int kindIndex;
    private final List<MachineCapacity> open = new ArrayList<>();

    /** {@code kindIndex} numbers the machines' kind within the cycle. */
    GroupCapacity(int kindIndex) {
        this.kindIndex = kindIndex;
    }

    int kindIndex() {
        return kindIndex;
    }

    void add(MachineCapacity capacity) {
        open.add(capacity);
    }

    /** Leaves out the machines that not even a task of this size fits on; within a cycle they stay full. */
    void dropFull(Resources smallestTask) {
        open.removeIf(capacity -> !capacity.fits(smallestTask));
    }

    boolean hasRoomFor(Resources task) {
        for (MachineCapacity capacity : open) {
            if (capacity.fits(task)) {
                return true;
            }
        }
        return false;
    }

    /**
     * The machine that carries most replicas of any service among those that can take one more of this service and have
     * fewer than {@code max} of it, or null: Optional would allocate on the hot path.
     */
    MachineCapacity mostReplicasFor(WaitingJob service, CycleState state, int max) {
        Resources task = service.job().spec().task();
        MachineCapacity best = null;
        for (MachineCapacity capacity : open) {
            boolean isBetter = best == null || capacity.replicas() > best.replicas();
            if (isBetter
                    && capacity.fits(task)
                    && state.isEligible(service, capacity)
                    && state.replicasOn(capacity.machine(), service.job()) < max) {
                best = capacity;
            }
        }
        return best;
    }

    /** The fullest machine that can take a task of the job now, or null: Optional would allocate on the hot path. */
    MachineCapacity fullestFor(WaitingJob waiting, CycleState state) {
        Resources task = waiting.job().spec().task();
        MachineCapacity best = null;
        for (MachineCapacity capacity : open) {
            boolean isFuller =
                    best == null || capacity.free().cpus() < best.free().cpus();
            if (isFuller && capacity.fits(task) && state.isEligible(waiting, capacity)) {
                best = capacity;
            }
        }
        return best;
    }
}
