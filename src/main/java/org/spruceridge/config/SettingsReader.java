package org.spruceridge.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.HashSet;
import java.util.Set;
import org.spruceridge.config.Settings.Cloud;
import org.spruceridge.config.Settings.Member;
import org.spruceridge.config.Settings.Objective;
import org.spruceridge.config.Settings.Resources;
import org.spruceridge.config.Settings.State;
import org.spruceridge.config.Settings.StateLimits;
import org.spruceridge.config.Settings.Team;
import org.spruceridge.config.Settings.Workers;

/** Reads and checks the platform's settings, section by section. Throws an exception at the first invalid field. */
final class SettingsReader {
    private final Fields root;
    private final Fields endpoints;
    private final Fields facts;
    private final Fields workers;
    private final Fields cloud;
    private final Fields resources;

    SettingsReader(JsonNode document) {
        this.root = Fields.root(document);
        this.endpoints = root.object("endpoints");
        this.facts = root.object("facts");
        this.workers = facts.object("workers");
        this.cloud = facts.object("cloud");
        this.resources = facts.object("resources");
    }

    Settings read() {
        ImmutableMap<String, Team> teams = teams();
        Workers workerSettings = workers();
        return new Settings(
                root.string("host_name"),
                root.string("domain"),
                root.address("serve_on"),
                root.address("peer_listen"),
                root.objects("members", SettingsReader::member),
                endpoints.address("cloud"),
                endpoints.address("state"),
                facts.strings("zones"),
                teams,
                facts.has("objectives") ? facts.objects("objectives", SettingsReader::objective) : ImmutableList.of(),
                workerSettings,
                state(facts.object("state")),
                new Cloud(cloud.positive("rps"), cloud.nonNegativeOr("list_lag_s", 0)),
                new Resources(
                        resources.positive("core_share"),
                        resources.positive("mem_mb"),
                        resources.positiveInt("max_sockets")),
                facts.nonNegativeOr("time_bound_ms", 0));
    }

    private ImmutableMap<String, Team> teams() {
        ImmutableMap.Builder<String, Team> teams = ImmutableMap.builder();
        Set<String> names = new HashSet<>();
        for (Team team : facts.objects("teams", SettingsReader::team)) {
            if (!names.add(team.name())) {
                throw facts.invalid("teams", "contains a duplicate team name: " + team.name());
            }
            teams.put(team.name(), team);
        }
        return teams.build();
    }

    private Workers workers() {
        Workers workerSettings =
                new Workers(workers.positive("report_s"), workers.positive("lease_s"), workers.positive("cancel_s"));
        if (workerSettings.leaseS() <= workerSettings.heartbeatIntervalS()) {
            throw workers.invalidValue(
                    "lease_s", "must be above report_s (" + workerSettings.heartbeatIntervalS() + ")");
        }
        if (workerSettings.cancelS() <= workerSettings.leaseS()) {
            throw workers.invalidValue("cancel_s", "must be above lease_s (" + workerSettings.leaseS() + ")");
        }
        return workerSettings;
    }

    private static Member member(Fields fields) {
        return new Member(fields.string("host_name"), fields.string("domain"), fields.address("peer_addr"));
    }

    private static Team team(Fields fields) {
        return new Team(
                fields.string("name"),
                fields.nonNegativeOr("cpus", 0),
                fields.nonNegativeOr("cpus_max", 0),
                fields.nonNegativeOr("gpus", 0),
                fields.nonNegativeOr("gpus_max", 0));
    }

    private static Objective objective(Fields fields) {
        return new Objective(
                fields.string("kind"),
                fields.stringOr("class", ""),
                fields.nonNegativeOr("within_s", 0),
                fields.nonNegativeOr("share", 0));
    }

    private static State state(Fields fields) {
        StateLimits current = new StateLimits(
                fields.positive("rps"),
                fields.positive("write_rps"),
                fields.positive("value_kb"),
                fields.positiveInt("txn_ops"));
        requireMinimumSizes(fields, current);
        return new State(current, fields.has("next") ? nextLimits(fields.object("next"), current) : current);
    }

    /** Reads the upcoming limits. An omitted limit keeps its current value. */
    private static StateLimits nextLimits(Fields fields, StateLimits current) {
        StateLimits next = new StateLimits(
                fields.positiveOr("rps", current.rps()),
                fields.positiveOr("write_rps", current.writeRps()),
                fields.positiveOr("value_kb", current.valueKb()),
                fields.has("txn_ops") ? fields.positiveInt("txn_ops") : current.txnOps());
        requireMinimumSizes(fields, next);
        return next;
    }

    /**
     * Rejects limits that are too small for the scheduler's records. Under such limits the scheduler could not keep its
     * guarantees.
     */
    private static void requireMinimumSizes(Fields fields, StateLimits limits) {
        if (limits.valueKb() < State.MIN_VALUE_KB) {
            throw fields.invalidValue("value_kb", "must be at least " + State.MIN_VALUE_KB);
        }
        if (limits.txnOps() < State.MIN_TXN_OPS) {
            throw fields.invalidValue("txn_ops", "must be at least " + State.MIN_TXN_OPS);
        }
    }
}
