package org.spruceridge.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import com.google.common.collect.ImmutableSet;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import org.spruceridge.config.Policy.FleetTimeouts;
import org.spruceridge.config.Policy.Leadership;
import org.spruceridge.config.Policy.Preemption;
import org.spruceridge.config.Policy.Scheduling;
import org.spruceridge.config.Policy.Weights;

/**
 * Reads and checks a policy file, section by section. Omitted sections and fields keep their defaults; unknown sections
 * and fields are rejected. A renamed section or field is accepted under its current or its former name, but not under
 * both in the same file.
 */
final class PolicyReader {
    private static final double MAX_TTL_WORKER_LEASES = 0.5;
    private static final double MIN_RENEWALS_PER_TTL = 2;

    private final Policy defaults = Policy.defaults();
    private final Fields root;

    private PolicyReader(JsonNode document) {
        this.root = Fields.root(document);
    }

    static Policy load(Path file) {
        JsonNode document;
        try {
            document = new YAMLMapper().readTree(Files.readAllBytes(file));
        } catch (JsonProcessingException e) {
            throw new SettingsException("invalid YAML: " + firstLine(e.getOriginalMessage()));
        } catch (IOException e) {
            throw SettingsException.unreadableFile(file, e);
        }
        if (document == null || document.isMissingNode() || document.isNull()) {
            return Policy.defaults();
        }
        return new PolicyReader(document).read();
    }

    private Policy read() {
        root.rejectUnknown(ImmutableSet.of(
                "weights", "scheduling", "rounds", "preemption", "stops", "leadership", "leading", "fleet"));
        return new Policy(
                section("weights").map(this::weights).orElse(defaults.weights()),
                section(root.usedName("scheduling", "rounds"))
                        .map(this::scheduling)
                        .orElse(defaults.scheduling()),
                section(root.usedName("preemption", "stops"))
                        .map(this::preemption)
                        .orElse(defaults.preemption()),
                section(root.usedName("leadership", "leading"))
                        .map(this::leadership)
                        .orElse(defaults.leadership()),
                section("fleet").map(this::fleet).orElse(defaults.fleet()));
    }

    private Optional<Fields> section(String name) {
        return root.has(name) ? Optional.of(root.object(name)) : Optional.empty();
    }

    private Weights weights(Fields fields) {
        fields.rejectUnknown(ImmutableSet.of(
                "deadline",
                "overhead",
                "wait",
                "aging",
                "starvation",
                "patience",
                "availability",
                "spot",
                "thrift",
                "packing"));
        Weights weights = defaults.weights();
        return new Weights(
                fields.nonNegativeOr("deadline", weights.deadline()),
                fields.nonNegativeOr("overhead", weights.overhead()),
                fields.nonNegativeOr("wait", weights.waiting()),
                fields.nonNegativeOr("aging", weights.aging()),
                fields.nonNegativeOr(fields.usedName("starvation", "patience"), weights.starvation()),
                fields.nonNegativeOr("availability", weights.availability()),
                fields.nonNegativeOr(fields.usedName("spot", "thrift"), weights.spotPreference()),
                fields.nonNegativeOr("packing", weights.packing()));
    }

    private Scheduling scheduling(Fields fields) {
        fields.rejectUnknown(ImmutableSet.of(
                "min_cycle_interval_heartbeats",
                "spacing_of_report",
                "min_remaining_time_s",
                "remaining_floor_s",
                "reserved_share",
                "held_share",
                "target_start_delay_s",
                "begin_within_s"));
        Scheduling scheduling = defaults.scheduling();
        return new Scheduling(
                fields.positiveOr(
                        fields.usedName("min_cycle_interval_heartbeats", "spacing_of_report"),
                        scheduling.minCycleIntervalHeartbeats()),
                fields.positiveOr(
                        fields.usedName("min_remaining_time_s", "remaining_floor_s"), scheduling.minRemainingTimeS()),
                fields.nonNegativeOr(fields.usedName("reserved_share", "held_share"), scheduling.reservedShare()),
                fields.positiveOr(
                        fields.usedName("target_start_delay_s", "begin_within_s"), scheduling.targetStartDelayS()));
    }

    private Preemption preemption(Fields fields) {
        fields.rejectUnknown(ImmutableSet.of("min_interval_per_machine_s", "per_machine_s"));
        return new Preemption(fields.positiveOr(
                fields.usedName("min_interval_per_machine_s", "per_machine_s"),
                defaults.preemption().minIntervalPerMachineS()));
    }

    private Leadership leadership(Fields fields) {
        fields.rejectUnknown(ImmutableSet.of("ttl_worker_leases", "ttl_of_lease", "renewals_per_ttl"));
        String ttlName = fields.usedName("ttl_worker_leases", "ttl_of_lease");
        Leadership leadership = new Leadership(
                fields.positiveOr(ttlName, defaults.leadership().ttlWorkerLeases()),
                fields.positiveOr("renewals_per_ttl", defaults.leadership().renewalsPerTtl()));
        if (leadership.ttlWorkerLeases() > MAX_TTL_WORKER_LEASES) {
            throw fields.invalidValue(ttlName, "must not be above 0.5");
        }
        if (leadership.renewalsPerTtl() < MIN_RENEWALS_PER_TTL) {
            throw fields.invalidValue("renewals_per_ttl", "must be at least 2");
        }
        return leadership;
    }

    private FleetTimeouts fleet(Fields fields) {
        fields.rejectUnknown(ImmutableSet.of(
                "idle_timeout_boots",
                "idle_of_boot",
                "boot_timeout_boots",
                "stuck_of_boot",
                "silence_timeout_leases",
                "silent_of_lease"));
        FleetTimeouts fleet = defaults.fleet();
        return new FleetTimeouts(
                fields.positiveOr(fields.usedName("idle_timeout_boots", "idle_of_boot"), fleet.idleTimeoutBoots()),
                fields.positiveOr(fields.usedName("boot_timeout_boots", "stuck_of_boot"), fleet.bootTimeoutBoots()),
                fields.positiveOr(
                        fields.usedName("silence_timeout_leases", "silent_of_lease"), fleet.silenceTimeoutLeases()));
    }

    private static String firstLine(String text) {
        int end = text.indexOf('\n');
        return end < 0 ? text : text.substring(0, end);
    }
}
