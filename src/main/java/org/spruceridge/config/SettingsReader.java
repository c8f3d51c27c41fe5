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

/** Reads and checks the platform's settings, section by section. The first invalid field ends it with an exception. */
final class SettingsReader {
    private final Fields top;
    private final Fields endpoints;
    private final Fields facts;
    private final Fields workers;
    private final Fields cloud;
    private final Fields resources;

    SettingsReader(JsonNode root) {
        this.top = Fields.root(root);
        this.endpoints = top.object("endpoints");
        this.facts = top.object("facts");
        this.workers = facts.object("workers");
        this.cloud = facts.object("cloud");
        this.resources = facts.object("resources");
    }

    Settings read() {
        ImmutableMap<String, Team> teams = teams();
        Workers periods = workers();
        return new Settings(
                top.text("host_name"),
                top.text("domain"),
                top.address("serve_on"),
                top.address("peer_listen"),
                top.objects("members", SettingsReader::member),
                endpoints.address("cloud"),
                endpoints.address("state"),
                facts.texts("zones"),
                teams,
                facts.has("objectives") ? facts.objects("objectives", SettingsReader::objective) : ImmutableList.of(),
                periods,
                state(facts.object("state")),
                new Cloud(cloud.positive("rps"), cloud.atLeastZeroOr("list_lag_s", 0)),
                new Resources(
                        resources.positive("core_share"),
                        resources.positive("mem_mb"),
                        resources.positiveCount("max_sockets")),
                facts.atLeastZeroOr("time_bound_ms", 0));
    }

    private ImmutableMap<String, Team> teams() {
        ImmutableMap.Builder<String, Team> teams = ImmutableMap.builder();
        Set<String> names = new HashSet<>();
        for (Team team : facts.objects("teams", SettingsReader::team)) {
            if (!names.add(team.name())) {
                throw facts.invalid("teams", "names a team twice: " + team.name());
            }
            teams.put(team.name(), team);
        }
        return teams.build();
    }

    private Workers workers() {
        Workers periods =
                new Workers(workers.positive("report_s"), workers.positive("lease_s"), workers.positive("cancel_s"));
        if (periods.leaseS() <= periods.heartbeatIntervalS()) {
            throw workers.invalid("lease_s", "must be above report_s");
        }
        if (periods.cancelS() <= periods.leaseS()) {
            throw workers.invalid("cancel_s", "must be above lease_s");
        }
        return periods;
    }

    private static Member member(Fields fields) {
        return new Member(fields.text("host_name"), fields.text("domain"), fields.address("peer_addr"));
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

    private static State state(Fields fields) {
        StateLimits current = new StateLimits(
                fields.positive("rps"),
                fields.positive("write_rps"),
                fields.positive("value_kb"),
                fields.positiveCount("txn_ops"));
        requireMinimumSizes(fields, current);
        return new State(current, fields.has("next") ? nextLimits(fields.object("next"), current) : current);
    }

    /** The limits to come; those that are left out stay as they are. */
    private static StateLimits nextLimits(Fields fields, StateLimits current) {
        StateLimits next = new StateLimits(
                fields.positiveOr("rps", current.rps()),
                fields.positiveOr("write_rps", current.writeRps()),
                fields.positiveOr("value_kb", current.valueKb()),
                fields.has("txn_ops") ? fields.positiveCount("txn_ops") : current.txnOps());
        requireMinimumSizes(fields, next);
        return next;
    }

    /** Refuses limits that are too small for the scheduler's own records: it could not keep its guarantees under them. */
    private static void requireMinimumSizes(Fields fields, StateLimits limits) {
        if (limits.valueKb() < State.MIN_VALUE_KB) {
            throw fields.invalid("value_kb", "must be at least " + State.MIN_VALUE_KB);
        }
        if (limits.txnOps() < State.MIN_TXN_OPS) {
            throw fields.invalid("txn_ops", "must be at least " + State.MIN_TXN_OPS);
        }
    }
}
