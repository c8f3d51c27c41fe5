package org.spruceridge.schedule;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.spruceridge.cluster.Cluster;
import org.spruceridge.cluster.JobSpec;
import org.spruceridge.cluster.Resources;
import org.spruceridge.config.Settings;
import org.spruceridge.config.Settings.Team;

/** The quota usage of each team during a scheduling cycle. Counts existing bindings and the cycle's placements. */
final class TeamQuotas {
    private final Map<String, Team> teams;
    private final Map<String, Resources> usage = new HashMap<>();
    private final Set<String> reservedTeams = new HashSet<>();

    TeamQuotas(Cluster cluster, Settings settings) {
        this.teams = settings.teams();
        for (String team : teams.keySet()) {
            usage.put(team, cluster.usedBy(team));
        }
    }

    /**
     * Returns the number of further tasks of this job that its team's quota allows. Returns 0 if the team is unknown or
     * the rest of its quota is reserved, and {@link Integer#MAX_VALUE} if the team has no quota.
     */
    int countAdmissibleTasks(JobSpec spec) {
        Team team = teams.get(spec.team());
        if (team == null || reservedTeams.contains(spec.team())) {
            return 0;
        }
        Resources limit = Resources.teamLimit(team.cpusMax(), team.gpusMax());
        Resources remaining = limit.minus(usage.get(spec.team()));
        return remaining.countFittingTasks(spec.taskResources());
    }

    /** Reserves the rest of a team's quota. Later candidates of this cycle cannot use the reserved quota. */
    void reserve(String team) {
        reservedTeams.add(team);
    }

    boolean isReserved(String team) {
        return reservedTeams.contains(team);
    }

    /** Counts one more task of the job towards its team's quota. */
    void add(JobSpec spec) {
        usage.computeIfPresent(spec.team(), (team, used) -> used.plus(spec.taskResources()));
    }
}
