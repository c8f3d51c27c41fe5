package org.spruceridge.cluster;

import com.google.common.collect.ImmutableMap;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** The cluster state in the memory of one term's leader: jobs, machines, and the bindings between them. */
public final class Cluster {
    /**
     * The maximum number of remembered names of removed machines, about twice the number of machines in a large fleet.
     * Late heartbeats and stale listings can still contain these names.
     */
    private static final int MAX_REMOVED_NAMES = 10_000;

    private final Set<String> removedMachineNames = new LinkedHashSet<>();
    private final Map<String, Job> jobs = new LinkedHashMap<>();
    private final Map<String, Machine> machines = new LinkedHashMap<>();
    private final Map<String, Resources> teamUsage = new HashMap<>();
    private ImmutableMap<String, MachineType> machineTypes = ImmutableMap.of();

    /** All jobs that are open or still have bound tasks. */
    public Collection<Job> jobs() {
        return jobs.values();
    }

    /** The job with this id, or null. */
    public Job job(String id) {
        return jobs.get(id);
    }

    /** Adds a job. */
    public void add(Job job) {
        jobs.put(job.id(), job);
    }

    /** Removes a job if {@code ended} is true and none of its tasks is still bound. */
    public void removeIfEnded(Job job, boolean ended) {
        if (ended && job.bindings().isEmpty()) {
            jobs.remove(job.id(), job);
        }
    }

    /** All machines known to exist. */
    public Collection<Machine> machines() {
        return machines.values();
    }

    /** The machine with this name, or null. */
    public Machine machine(String name) {
        return machines.get(name);
    }

    /** Adds a machine. */
    public void add(Machine machine) {
        machines.put(machine.name(), machine);
    }

    /** Removes a machine that no longer exists. The cloud does not use the name of the machine again. */
    public void remove(Machine machine) {
        machines.remove(machine.name(), machine);
        removedMachineNames.add(machine.name());
        if (removedMachineNames.size() > MAX_REMOVED_NAMES) {
            removedMachineNames.remove(removedMachineNames.iterator().next());
        }
    }

    /** True if a machine with this name was removed. Late heartbeats and stale listings can still contain the name. */
    public boolean wasRemoved(String name) {
        return removedMachineNames.contains(name);
    }

    /** The machine types by name; empty until the first call of {@link #updateMachineTypes}. */
    public ImmutableMap<String, MachineType> machineTypes() {
        return machineTypes;
    }

    /** Replaces the machine types. */
    public void updateMachineTypes(ImmutableMap<String, MachineType> typesByName) {
        machineTypes = typesByName;
    }

    /** The type of a machine; empty if the type is unknown. */
    public Optional<MachineType> machineTypeOf(Machine machine) {
        return Optional.ofNullable(machineTypes.get(machine.type()));
    }

    /** The unused capacity of a machine; {@link Resources#NONE} while its type is unknown. */
    public Resources freeCapacity(Machine machine) {
        return machineTypeOf(machine)
                .map(type -> type.capacity().minus(machine.used()))
                .orElse(Resources.NONE);
    }

    /** The capacity used by all bindings of a team. */
    public Resources usedBy(String team) {
        return teamUsage.getOrDefault(team, Resources.NONE);
    }

    /** Adds a binding to its job and its machine, and adds its resources to the usage of its team. */
    public void bind(Binding binding) {
        binding.job().bind(binding);
        binding.machine().bind(binding);
        teamUsage.merge(binding.job().spec().team(), binding.job().spec().taskResources(), Resources::plus);
    }

    /**
     * Frees the machine capacity of a task that is proven not to be on its machine. The job and the team of the task
     * count the binding until the release has been written to the records; {@link #unbind} then removes the binding.
     */
    public void releaseCapacity(Binding binding) {
        if (binding.machine().binding(binding.task()) == binding) {
            binding.machine().releaseCapacity(binding);
        }
    }

    /** Removes a binding. Does nothing if the binding was already removed. */
    public void unbind(Binding binding, long now) {
        if (binding.machine().binding(binding.task()) != binding) {
            return;
        }
        binding.job().unbind(binding, now);
        binding.machine().unbind(binding, now);
        JobSpec spec = binding.job().spec();
        teamUsage.merge(spec.team(), spec.taskResources(), Resources::minus);
    }
}
