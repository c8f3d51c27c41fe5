package org.spruceridge.api;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import java.util.Optional;
import org.spruceridge.cluster.JobSpec;
import org.spruceridge.cluster.MachineType;
import org.spruceridge.cluster.Resources;
import org.spruceridge.config.Settings.Team;

/** Judges whether a well-formed job can ever run. */
final class AdmissionControl {
    private final ImmutableMap<String, Team> teams;

    AdmissionControl(ImmutableMap<String, Team> teams) {
        this.teams = teams;
    }

    /** Why the job can never run; empty if it can. */
    Optional<String> rejectionReason(JobSpec spec, ImmutableMap<String, MachineType> types) {
        Team team = teams.get(spec.team());
        if (team == null) {
            return Optional.of("unknown team");
        }
        boolean fits = types.values().stream()
                .anyMatch(t -> spec.task().fitsIn(t.capacity())
                        && t.zones().stream().anyMatch(zone -> spec.allows(t.name(), zone, false)));
        if (!fits) {
            return Optional.of("a task fits no allowed machine type");
        }
        Resources limit = new Resources(
                team.cpusMax() > 0 ? team.cpusMax() : Double.MAX_VALUE,
                team.gpusMax() > 0 ? team.gpusMax() : Double.MAX_VALUE,
                Double.MAX_VALUE);
        if (spec.isService()) {
            // All replicas run at the same time, and none of them ends to make way for another.
            Resources all = spec.task().times(spec.tasks());
            return all.fitsIn(limit) ? Optional.empty() : Optional.of("the job needs more than the team's limit");
        }
        return spec.task().fitsIn(limit) ? Optional.empty() : Optional.of("a task needs more than the team's limit");
    }

    /** The job with only those types named that exist, so that its record stays small. */
    static JobSpec withKnownTypes(JobSpec s, ImmutableMap<String, MachineType> types) {
        Optional<ImmutableSet<String>> known =
                s.types().map(t -> Sets.intersection(t, types.keySet()).immutableCopy());
        return s.withTypes(known);
    }
}
