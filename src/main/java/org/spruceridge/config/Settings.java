package org.spruceridge.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.Set;
import org.spruceridge.net.BadMessageException;
import org.spruceridge.net.Json;

/** The settings that the platform hands over; fields that are not known are ignored. */
public record Settings(
        String hostName,
        String zone,
        Address serveOn,
        Address peerListen,
        ImmutableList<Member> members,
        Address cloudAddress,
        Address stateAddress,
        ImmutableList<String> zones,
        ImmutableMap<String, Team> teams,
        ImmutableList<Objective> objectives,
        Workers workers,
        State state,
        Cloud cloud,
        Resources resources,
        double clockOffMs) {

    /** Another controller node. */
    public record Member(String hostName, String zone, Address address) {}

    /** A team: what it is guaranteed and what it may use at most, 0 meaning none. */
    public record Team(String name, double cpus, double cpusMax, double gpus, double gpusMax) {}

    /** An aim for a class of jobs. */
    public record Objective(String kind, String jobClass, double withinS, double share) {}

    /** The periods that workers keep, in seconds. */
    public record Workers(double reportS, double leaseS, double cancelS) {
        private static final double DECISION_DELAY_OF_LEASE = 0.1;

        /** For how long a leader puts decisions off at most while requests wait. */
        public double mostDecisionDelayS() {
            return DECISION_DELAY_OF_LEASE * leaseS;
        }
    }

    /** The limits of the state service. */
    public record State(double rps, double writeRps, double valueKb, int txnOps) {
        /** A transaction's body holds several records, however large one may be. */
        private static final double MOST_RECORD_KB = 8;

        /** How large our own records become at most. */
        public double recordKb() {
            return Math.min(valueKb, MOST_RECORD_KB);
        }
    }

    /** The limits of the cloud. */
    public record Cloud(double rps, double listLagS) {}

    /** What the machine of this node gives. */
    public record Resources(double coreShare, double memMb, int maxSockets) {}

    /** Controller nodes in all, this one counted. */
    public int nodeCount() {
        return members.size() + 1;
    }

    /** Reads and checks a settings file. */
    public static Settings load(Path file) {
        byte[] bytes;
        try {
            bytes = Files.readAllBytes(file);
        } catch (IOException e) {
            throw new SettingsException(
                    "cannot read " + file + ": " + e.getClass().getSimpleName());
        }
        try {
            return read(Json.object(bytes));
        } catch (BadMessageException e) {
            throw new SettingsException(e.getMessage());
        }
    }

    /** Checks settings that are parsed already. */
    public static Settings read(JsonNode root) {
        Fields top = Fields.root(root);
        Fields endpoints = top.object("endpoints");
        Fields facts = top.object("facts");
        Fields workers = facts.object("workers");
        Fields state = facts.object("state");
        Fields cloud = facts.object("cloud");
        Fields resources = facts.object("resources");
        ImmutableMap.Builder<String, Team> teams = ImmutableMap.builder();
        Set<String> seen = new HashSet<>();
        for (Team team : facts.objects("teams", Settings::team)) {
            if (!seen.add(team.name())) {
                throw facts.complaint("teams", "names a team twice: " + team.name());
            }
            teams.put(team.name(), team);
        }
        Workers periods =
                new Workers(workers.positive("report_s"), workers.positive("lease_s"), workers.positive("cancel_s"));
        if (periods.leaseS() <= periods.reportS()) {
            throw workers.complaint("lease_s", "must be above report_s");
        }
        if (periods.cancelS() <= periods.leaseS()) {
            throw workers.complaint("cancel_s", "must be above lease_s");
        }
        return new Settings(
                top.text("host_name"),
                top.text("domain"),
                top.address("serve_on"),
                top.address("peer_listen"),
                top.objects("members", m -> new Member(m.text("host_name"), m.text("domain"), m.address("peer_addr"))),
                endpoints.address("cloud"),
                endpoints.address("state"),
                facts.texts("zones"),
                teams.build(),
                facts.has("objectives") ? facts.objects("objectives", Settings::objective) : ImmutableList.of(),
                periods,
                new State(
                        state.positive("rps"),
                        state.positive("write_rps"),
                        state.positive("value_kb"),
                        state.positiveCount("txn_ops")),
                new Cloud(cloud.positive("rps"), cloud.atLeastZeroOr("list_lag_s", 0)),
                new Resources(
                        resources.positive("core_share"),
                        resources.positive("mem_mb"),
                        resources.positiveCount("max_sockets")),
                facts.atLeastZeroOr("time_bound_ms", 0));
    }

    private static Team team(Fields f) {
        return new Team(
                f.text("name"),
                f.atLeastZeroOr("cpus", 0),
                f.atLeastZeroOr("cpus_max", 0),
                f.atLeastZeroOr("gpus", 0),
                f.atLeastZeroOr("gpus_max", 0));
    }

    private static Objective objective(Fields f) {
        return new Objective(
                f.text("kind"), f.textOr("class", ""), f.atLeastZeroOr("within_s", 0), f.atLeastZeroOr("share", 0));
    }
}
