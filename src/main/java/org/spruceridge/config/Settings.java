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
        double clockErrorBoundMs) {

    /** Another controller node. */
    public record Member(String hostName, String zone, Address address) {}

    /** A team: what it is guaranteed and what it may use at most, 0 meaning none. */
    public record Team(String name, double cpus, double cpusMax, double gpus, double gpusMax) {}

    /** An aim for a class of jobs. */
    public record Objective(String kind, String jobClass, double withinS, double share) {}

    /** The periods that workers keep, in seconds. */
    public record Workers(double heartbeatIntervalS, double leaseS, double cancelS) {
        private static final double MAX_DECISION_DELAY_LEASES = 0.1;

        /** For how long a leader puts decisions off at most while requests wait. */
        public double maxDecisionDelayS() {
            return MAX_DECISION_DELAY_LEASES * leaseS;
        }
    }

    /** What the state service takes: requests and changes a second, kilobytes a value, changes a transaction. */
    public record StateLimits(double rps, double writeRps, double valueKb, int txnOps) {}

    /**
     * The limits of the state service: those that hold now, and those that it will have from some moment on, of which
     * nobody is told. Rates are kept as they are until the service shows the new ones; sizes fit both sets from the start.
     */
    public record State(StateLimits current, StateLimits next) {
        /** A transaction's body holds several records, however large one may be. */
        private static final double MAX_RECORD_KB = 8;

        private static final int BYTES_PER_KB = 1024;

        /** Below these, not even a page with one machine, or the end of a job with the release of its last task, fits. */
        private static final double MIN_VALUE_KB = 1;

        private static final int MIN_TXN_OPS = 3;

        /** Limits that will not change. */
        public State(double rps, double writeRps, double valueKb, int txnOps) {
            this(new StateLimits(rps, writeRps, valueKb, txnOps), new StateLimits(rps, writeRps, valueKb, txnOps));
        }

        /** How large a value may be, now and later. */
        public double valueKb() {
            return Math.min(current.valueKb, next.valueKb);
        }

        /** The same in bytes. */
        public int valueBytes() {
            return (int) (valueKb() * BYTES_PER_KB);
        }

        /** How many changes a transaction may make, now and later. */
        public int txnOps() {
            return Math.min(current.txnOps, next.txnOps);
        }

        /** How large our own records become at most. */
        public double recordKb() {
            return Math.min(valueKb(), MAX_RECORD_KB);
        }

        /** How large records become at most in a version that does not know the limits to come. */
        public double currentRecordKb() {
            return Math.min(current.valueKb, MAX_RECORD_KB);
        }

        /** True if the service is told to lower its rates, so that a refusal may mean that it has. */
        public boolean ratesWillFall() {
            return next.rps < current.rps || next.writeRps < current.writeRps;
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
        Fields cloud = facts.object("cloud");
        Fields resources = facts.object("resources");
        ImmutableMap.Builder<String, Team> teams = ImmutableMap.builder();
        Set<String> teamNames = new HashSet<>();
        for (Team team : facts.objects("teams", Settings::team)) {
            if (!teamNames.add(team.name())) {
                throw facts.invalid("teams", "names a team twice: " + team.name());
            }
            teams.put(team.name(), team);
        }
        Workers periods =
                new Workers(workers.positive("report_s"), workers.positive("lease_s"), workers.positive("cancel_s"));
        if (periods.leaseS() <= periods.heartbeatIntervalS()) {
            throw workers.invalid("lease_s", "must be above report_s");
        }
        if (periods.cancelS() <= periods.leaseS()) {
            throw workers.invalid("cancel_s", "must be above lease_s");
        }
        return new Settings(
                top.text("host_name"),
                top.text("domain"),
                top.address("serve_on"),
                top.address("peer_listen"),
                top.objects(
                        "members",
                        member -> new Member(
                                member.text("host_name"), member.text("domain"), member.address("peer_addr"))),
                endpoints.address("cloud"),
                endpoints.address("state"),
                facts.texts("zones"),
                teams.build(),
                facts.has("objectives") ? facts.objects("objectives", Settings::objective) : ImmutableList.of(),
                periods,
                state(facts.object("state")),
                new Cloud(cloud.positive("rps"), cloud.atLeastZeroOr("list_lag_s", 0)),
                new Resources(
                        resources.positive("core_share"),
                        resources.positive("mem_mb"),
                        resources.positiveCount("max_sockets")),
                facts.atLeastZeroOr("time_bound_ms", 0));
    }

    private static State state(Fields fields) {
        StateLimits current = requireMinimumSizes(
                fields,
                new StateLimits(
                        fields.positive("rps"),
                        fields.positive("write_rps"),
                        fields.positive("value_kb"),
                        fields.positiveCount("txn_ops")));
        if (!fields.has("next")) {
            return new State(current, current);
        }
        Fields next = fields.object("next");
        return new State(
                current,
                requireMinimumSizes(
                        next,
                        new StateLimits(
                                next.positiveOr("rps", current.rps),
                                next.positiveOr("write_rps", current.writeRps),
                                next.positiveOr("value_kb", current.valueKb),
                                next.has("txn_ops") ? next.positiveCount("txn_ops") : current.txnOps)));
    }

    /** Limits too small for the service's own records end the program: it could not keep its rules under them. */
    private static StateLimits requireMinimumSizes(Fields fields, StateLimits limits) {
        if (limits.valueKb < State.MIN_VALUE_KB) {
            throw fields.invalid("value_kb", "must be at least " + State.MIN_VALUE_KB);
        }
        if (limits.txnOps < State.MIN_TXN_OPS) {
            throw fields.invalid("txn_ops", "must be at least " + State.MIN_TXN_OPS);
        }
        return limits;
    }

    private static Team team(Fields fields) {
        return new Team(
                fields.text("name"),
                fields.atLeastZeroOr("cpus", 0),
                fields.atLeastZeroOr("cpus_max", 0),
                fields.atLeastZeroOr("gpus", 0),
                fields.atLeastZeroOr("gpus_max", 0));
    }

    private static Objective objective(Fields fields) {
        return new Objective(
                fields.text("kind"),
                fields.textOr("class", ""),
                fields.atLeastZeroOr("within_s", 0),
                fields.atLeastZeroOr("share", 0));
    }
}
