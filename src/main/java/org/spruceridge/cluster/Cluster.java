package org.spruceridge.cluster;

import com.google.common.collect.ImmutableMap;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** The cluster state as one term's leader knows it: jobs, machines, and the bindings between them. */
public final class Cluster {
    /** How many names of removed machines are kept, as late heartbeats and lists may contain them: twice a large fleet. */
    private static final int MAX_REMOVED_NAMES = 10_000;

    private final Set<String> removedMachines = new LinkedHashSet<>();
    private final Map<String, Job> jobs = new LinkedHashMap<>();
    private final Map<String, Machine> machines = new LinkedHashMap<>();
    private final Map<String, Resources> teamUsage = new HashMap<>();
    private ImmutableMap<String, MachineType> types = ImmutableMap.of();

    /** All jobs that are open, or of which tasks are still bound. */
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

    /** Removes a job that has ended, unless tasks of it are still bound. */
    public void removeIfEnded(Job job, boolean ended) {
        if (ended && job.bindings().isEmpty()) {
            jobs.remove(job.id(), job);
        }
    }

    /** All machines that exist, as far as is known. */
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

    /** Removes a machine that no longer exists; the cloud does not use its name again. */
    public void remove(Machine machine) {
        machines.remove(machine.name(), machine);
        removedMachines.add(machine.name());
        if (removedMachines.size() > MAX_REMOVED_NAMES) {
            removedMachines.remove(removedMachines.iterator().next());
        }
    }

    /** True if the machine was removed: late heartbeats and lagging lists may still contain it. */
    public boolean wasRemoved(String name) {
        return removedMachines.contains(name);
    }

    /** The machine types by name; empty until they are known. */
    public ImmutableMap<String, MachineType> types() {
        return types;
    }

    /** Replaces the machine types by those of the cloud. */
    public void updateTypes(ImmutableMap<String, MachineType> catalogue) {
        types = catalogue;
    }

    /** The type of a machine, if it is known. */
    public Optional<MachineType> typeOf(Machine machine) {
        return Optional.ofNullable(types.get(machine.type()));
    }

    /** The capacity that a machine has left; none while its type is unknown. */
    public Resources freeCapacity(Machine machine) {
        return typeOf(machine)
                .map(type -> type.capacity().minus(machine.used()))
                .orElse(Resources.NONE);
    }

    /** The capacity that all bindings of a team take together. */
    public Resources usedBy(String team) {
        return teamUsage.getOrDefault(team, Resources.NONE);
    }

    /** Adds a binding to its job, its machine and the usage of its team. */
    public void bind(Binding binding) {
        binding.job().bind(binding);
        binding.machine().bind(binding);
        teamUsage.merge(binding.job().spec().team(), binding.job().spec().task(), Resources::plus);
    }

    /**
     * Frees the capacity of a task that is proven not to be on its machine. Its job and its team count the binding until
     * the release is on record.
     */
    public void releaseCapacity(Binding binding) {
        if (binding.machine().binding(binding.task()) == binding) {
            binding.machine().releaseCapacity(binding);
        }
    }

    /** Removes a binding; does nothing if it was removed before. */
    public void unbind(Binding binding, long now) {
        if (binding.machine().binding(binding.task()) != binding) {
            return;
        }
        binding.job().unbind(binding, now);
        binding.machine().unbind(binding, now);
        JobSpec spec = binding.job().spec();
        teamUsage.merge(spec.team(), spec.task(), Resources::minus);
    }
}
