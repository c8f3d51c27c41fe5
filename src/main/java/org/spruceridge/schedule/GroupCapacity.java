package org.spruceridge.schedule;

import java.util.ArrayList;
import java.util.List;
import org.spruceridge.cluster.Resources;

/** The machines of one group that might still have room for a waiting task in this cycle. */
final class GroupCapacity {
    private final int kindIndex;
    private final List<MachineCapacity> machinesWithRoom = new ArrayList<>();

    /** {@code kindIndex} is the index of the machines' kind within the cycle. */
    GroupCapacity(int kindIndex) {
        this.kindIndex = kindIndex;
    }

    int kindIndex() {
        return kindIndex;
    }

    void add(MachineCapacity capacity) {
        machinesWithRoom.add(capacity);
    }

    /**
     * Drops machines without room for {@code smallestTask}, the minimum of each resource over all waiting tasks. A
     * dropped machine cannot get room again, because free capacity only shrinks within a cycle.
     */
    void dropFull(Resources smallestTask) {
        machinesWithRoom.removeIf(capacity -> !capacity.fits(smallestTask));
    }

    boolean hasRoomFor(Resources task) {
        for (MachineCapacity capacity : machinesWithRoom) {
            if (capacity.fits(task)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns the machine with the most replicas, counted over all services. Considers only machines that have room for
     * another replica of this service and run fewer than {@code maxReplicas} replicas of this service. Returns null if
     * there is no such machine, because Optional would allocate on the hot path.
     */
    MachineCapacity machineWithMostReplicasFor(WaitingJob service, CycleState state, int maxReplicas) {
        Resources task = service.job().spec().taskResources();
        MachineCapacity best = null;
        for (MachineCapacity capacity : machinesWithRoom) {
            boolean isBetter = best == null || capacity.replicaCount() > best.replicaCount();
            if (isBetter
                    && capacity.fits(task)
                    && state.isEligible(service, capacity)
                    && state.countReplicasOn(capacity.machine(), service.job()) < maxReplicas) {
                best = capacity;
            }
        }
        return best;
    }

    /**
     * Returns the fullest machine with room for a task of the job. Returns null if there is no such machine, because
     * Optional would allocate on the hot path.
     */
    MachineCapacity fullestMachineFor(WaitingJob waiting, CycleState state) {
        Resources task = waiting.job().spec().taskResources();
        MachineCapacity best = null;
        for (MachineCapacity capacity : machinesWithRoom) {
            boolean isFuller =
                    best == null || capacity.free().cpus() < best.free().cpus();
            if (isFuller && capacity.fits(task) && state.isEligible(waiting, capacity)) {
                best = capacity;
            }
        }
        return best;
    }
}
