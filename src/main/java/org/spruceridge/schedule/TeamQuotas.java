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

/** What each team uses of its quota during a scheduling cycle, counted over bindings and the cycle's placements. */
final class TeamQuotas {
    private final Map<String, Team> teams;
    private final Map<String, Resources> usage = new HashMap<>();
    private final Set<String> reserved = new HashSet<>();

    TeamQuotas(Cluster cluster, Settings settings) {
        this.teams = settings.teams();
        for (String team : teams.keySet()) {
            usage.put(team, cluster.usedBy(team));
        }
    }

    /** How many more tasks of this job's size its team's quota admits; 0 for an unknown team or a reserved quota. */
    int admits(JobSpec spec) {
        Team team = teams.get(spec.team());
        if (team == null || reserved.contains(spec.team())) {
            return 0;
        }
        if (team.cpusMax() <= 0 && team.gpusMax() <= 0) {
            return Integer.MAX_VALUE;
        }
        Resources used = usage.get(spec.team());
        Resources left = new Resources(
                team.cpusMax() > 0 ? team.cpusMax() - used.cpus() : Double.MAX_VALUE,
                team.gpusMax() > 0 ? team.gpusMax() - used.gpus() : Double.MAX_VALUE,
                Double.MAX_VALUE);
        return left.holds(spec.task());
    }

    /** Withholds what is left of a team's quota from the candidates that follow in this cycle. */
    void reserve(String team) {
        reserved.add(team);
    }

    boolean isReserved(String team) {
        return reserved.contains(team);
    }

    /** Counts one more task of the job. */
    void add(JobSpec spec) {
        usage.computeIfPresent(spec.team(), (team, used) -> used.plus(spec.task()));
    }
}
