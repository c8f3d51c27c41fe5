package org.spruceridge.cluster;

import com.google.common.collect.ImmutableMap;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** The picture of one term: jobs, machines, and the bindings between them. */
public final class Cluster {
    private static final int GONE_KEPT = 5000;

    private final Set<String> gone = new LinkedHashSet<>();
    private final Map<String, Job> jobs = new LinkedHashMap<>();
    private final Map<String, Machine> machines = new LinkedHashMap<>();
    private final Map<String, Resources> teamUse = new HashMap<>();
    private ImmutableMap<String, MachineType> types = ImmutableMap.of();

    public Collection<Job> jobs() {
        return jobs.values();
    }

    public Job job(String id) {
        return jobs.get(id);
    }

    public void add(Job job) {
        jobs.put(job.id(), job);
    }

    /** Lets go of a job that has ended and of which nothing is bound. */
    public void removeIfOver(Job job, boolean ended) {
        if (ended && job.bindings().isEmpty()) {
            jobs.remove(job.id(), job);
        }
    }

    public Collection<Machine> machines() {
        return machines.values();
    }

    public Machine machine(String name) {
        return machines.get(name);
    }

    public void add(Machine machine) {
        machines.put(machine.name(), machine);
    }

    /** Takes a machine that is gone out of the picture; its name is not used again. */
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

    public ImmutableMap<String, MachineType> types() {
        return types;
    }

    public void types(ImmutableMap<String, MachineType> catalogue) {
        types = catalogue;
    }

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

    public void unbind(Binding binding, long now) {
        if (binding.machine().binding(binding.task()) != binding) {
            return;
        }
        binding.job().unbind(binding);
        binding.machine().unbind(binding, now);
        JobSpec spec = binding.job().spec();
        teamUse.merge(spec.team(), spec.task(), (a, b) -> a.minus(b));
    }
}
