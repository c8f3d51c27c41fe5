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
    /** Names of machines that are gone, for as long as late reports and lagging lists may name them: twice a large fleet. */
    private static final int GONE_KEPT = 10_000;

    private final Set<String> gone = new LinkedHashSet<>();
    private final Map<String, Job> jobs = new LinkedHashMap<>();
    private final Map<String, Machine> machines = new LinkedHashMap<>();
    private final Map<String, Resources> teamUse = new HashMap<>();
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

    /** Lets go of a job that has ended and of which nothing is bound. */
    public void removeIfOver(Job job, boolean ended) {
        if (ended && job.bindings().isEmpty()) {
            jobs.remove(job.id(), job);
        }
    }

    /** All machines that are rented, as far as is known. */
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

    /** Takes a machine that is gone out of the cluster state; its name is not used again. */
    public void remove(Machine machine) {
        machines.remove(machine.name(), machine);
        gone.add(machine.name());
        if (gone.size() > GONE_KEPT) {
            gone.remove(gone.iterator().next());
        }
    }

    /** True if the machine was known and is gone: late reports and lagging lists may still name it. */
    public boolean isGone(String name) {
        return gone.contains(name);
    }

    /** The machine types by name; empty until they are known. */
    public ImmutableMap<String, MachineType> types() {
        return types;
    }

    /** Takes over the machine types of the cloud. */
    public void types(ImmutableMap<String, MachineType> catalogue) {
        types = catalogue;
    }

    /** The type of a machine, if it is known. */
    public Optional<MachineType> typeOf(Machine machine) {
        return Optional.ofNullable(types.get(machine.type()));
    }

    /** The room that a machine has left; none while its type is unknown. */
    public Resources free(Machine machine) {
        return typeOf(machine).map(t -> t.capacity().minus(machine.used())).orElse(Resources.NONE);
    }

    /** What all bindings of a team take together. */
    public Resources usedBy(String team) {
        return teamUse.getOrDefault(team, Resources.NONE);
    }

    /** Adds a binding to its job, its machine and the use of its team. */
    public void bind(Binding binding) {
        binding.job().bind(binding);
        binding.machine().bind(binding);
        teamUse.merge(binding.job().spec().team(), binding.job().spec().task(), Resources::plus);
    }

    /**
     * There is proof that the task is not on its machine. Its room is free; its job and its team count it until that is
     * on record.
     */
    public void vacate(Binding binding) {
        if (binding.machine().binding(binding.task()) == binding) {
            binding.machine().vacate(binding);
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
        teamUse.merge(spec.team(), spec.task(), (a, b) -> a.minus(b));
    }
}
