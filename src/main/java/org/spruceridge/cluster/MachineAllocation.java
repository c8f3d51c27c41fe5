package org.spruceridge.cluster;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

/** The bindings of one machine and the capacity that they use. */
final class MachineAllocation {
    private final Map<TaskId, Binding> bindings = new LinkedHashMap<>();
    private Resources used = Resources.NONE;
    private int replicaCount;
    private long idleSince;

    MachineAllocation(long now) {
        this.idleSince = now;
    }

    Collection<Binding> bindings() {
        return bindings.values();
    }

    Binding binding(TaskId task) {
        return bindings.get(task);
    }

    Resources used() {
        return used;
    }

    int replicaCount() {
        return replicaCount;
    }

    long idleSince() {
        return idleSince;
    }

    void restartIdleTime(long now) {
        idleSince = now;
    }

    void bind(Binding binding) {
        bindings.put(binding.task(), binding);
        replicaCount += binding.job().spec().isService() ? 1 : 0;
        used = used.plus(binding.job().spec().taskResources());
    }

    void unbind(Binding binding, long now) {
        releaseCapacity(binding);
        if (bindings.remove(binding.task(), binding)) {
            replicaCount -= binding.job().spec().isService() ? 1 : 0;
        }
        if (bindings.isEmpty()) {
            idleSince = now;
        }
    }

    void releaseCapacity(Binding binding) {
        if (!binding.isProvenGone()) {
            binding.markProvenGone();
            used = used.minus(binding.job().spec().taskResources());
        }
    }
}
