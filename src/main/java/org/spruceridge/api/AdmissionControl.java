package org.spruceridge.api;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import java.util.Optional;
import org.spruceridge.cluster.JobSpec;
import org.spruceridge.cluster.MachineType;
import org.spruceridge.cluster.Resources;
import org.spruceridge.config.Settings.Team;

/** Checks whether a valid job can run at all, given the available machine types and the limits of its team. */
final class AdmissionControl {
    private final ImmutableMap<String, Team> teams;

    AdmissionControl(ImmutableMap<String, Team> teams) {
        this.teams = teams;
    }

    /** Returns the reason why the job can never run, or empty if the job can run. The reason is sent to the user. */
    Optional<String> rejectionReason(JobSpec spec, ImmutableMap<String, MachineType> types) {
        Team team = teams.get(spec.team());
        if (team == null) {
            return Optional.of("unknown team");
        }
        if (types.values().stream().noneMatch(type -> fits(spec, type))) {
            return Optional.of("a task fits no allowed machine type");
        }
        Resources limit = Resources.teamLimit(team.cpusMax(), team.gpusMax());
        if (!spec.isService()) {
            return spec.taskResources().fitsIn(limit)
                    ? Optional.empty()
                    : Optional.of("a task needs more than the team's limit");
        }
        // All replicas of a service run at the same time and no replica completes. The limit must therefore cover the
        // sum of their resources.
        Resources allReplicas = spec.taskResources().times(spec.taskCount());
        return allReplicas.fitsIn(limit) ? Optional.empty() : Optional.of("the job needs more than the team's limit");
    }

    private static boolean fits(JobSpec spec, MachineType type) {
        return spec.taskResources().fitsIn(type.capacity())
                && type.zones().stream().anyMatch(zone -> spec.allows(type.name(), zone, false));
    }

    /** Removes unknown machine types from the job's list of allowed types, to keep the job record small. */
    static JobSpec withKnownTypes(JobSpec spec, ImmutableMap<String, MachineType> types) {
        Optional<ImmutableSet<String>> knownTypes = spec.allowedMachineTypes()
                .map(named -> Sets.intersection(named, types.keySet()).immutableCopy());
        return spec.withAllowedMachineTypes(knownTypes);
    }
}
