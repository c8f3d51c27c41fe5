package org.spruceridge.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import com.google.common.collect.ImmutableSet;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * The operators' own settings: the weights of the document's terms and the ratios by which everything else follows
 * from the platform's figures.
 */
public record Policy(
        Weights weights, Scheduling scheduling, Preemption preemption, Leadership leadership, FleetTimeouts fleet) {

    /** The document's weights, and those of our own terms. */
    public record Weights(
            double deadline,
            double overhead,
            double waiting,
            double aging,
            double starvation,
            double availability,
            double spotPreference,
            double packing) {}

    /** How far apart cycles are, against the workers' report period, the least remaining time that the scores assume, and
     * when each job should have begun.
     */
    public record Scheduling(
            double minCycleIntervalHeartbeats,
            double minRemainingTimeS,
            double reservedShare,
            double targetStartDelayS) {}

    /** How often a running task of one machine may be stopped for a waiting one. */
    public record Preemption(double minIntervalPerMachineS) {}

    /** The grant behind the leader key, against {@code lease_s}. */
    public record Leadership(double ttlWorkerLeases, double renewalsPerTtl) {}

    /** How machines are rented and returned, against a type's boot time and a worker's lease. */
    public record FleetTimeouts(double idleTimeoutBoots, double bootTimeoutBoots, double silenceTimeoutLeases) {}

    /** The values that the program starts with. */
    public static Policy defaults() {
        return new Policy(
                new Weights(15, 40, 8, 5, 40, 40, 2, 3),
                new Scheduling(0.1, 10, 0.25, 240),
                new Preemption(60),
                new Leadership(0.5, 8),
                new FleetTimeouts(0.25, 4, 0.5));
    }

    /** Reads and checks a policy file; what it leaves out keeps its default. */
    public static Policy load(Path file) {
        JsonNode root;
        try {
            root = new YAMLMapper().readTree(Files.readAllBytes(file));
        } catch (JsonProcessingException e) {
            throw new SettingsException("not YAML: " + firstLine(e.getOriginalMessage()));
        } catch (IOException e) {
            throw new SettingsException(
                    "cannot read " + file + ": " + e.getClass().getSimpleName());
        }
        if (root == null || root.isMissingNode() || root.isNull()) {
            return defaults();
        }
        return read(root);
    }

    private static Policy read(JsonNode root) {
        Policy defaults = defaults();
        Fields top = Fields.root(root);
        top.rejectUnknown(ImmutableSet.of("weights", "rounds", "stops", "leading", "fleet"));
        Weights weights = defaults.weights;
        if (top.has("weights")) {
            Fields f = top.object("weights");
            f.rejectUnknown(ImmutableSet.of(
                    "deadline", "overhead", "wait", "aging", "patience", "availability", "thrift", "packing"));
            weights = new Weights(
                    f.atLeastZeroOr("deadline", weights.deadline),
                    f.atLeastZeroOr("overhead", weights.overhead),
                    f.atLeastZeroOr("wait", weights.waiting),
                    f.atLeastZeroOr("aging", weights.aging),
                    f.atLeastZeroOr("patience", weights.starvation),
                    f.atLeastZeroOr("availability", weights.availability),
                    f.atLeastZeroOr("thrift", weights.spotPreference),
                    f.atLeastZeroOr("packing", weights.packing));
        }
        Scheduling scheduling = defaults.scheduling;
        if (top.has("rounds")) {
            Fields f = top.object("rounds");
            f.rejectUnknown(ImmutableSet.of("spacing_of_report", "remaining_floor_s", "held_share", "begin_within_s"));
            scheduling = new Scheduling(
                    f.positiveOr("spacing_of_report", scheduling.minCycleIntervalHeartbeats),
                    f.positiveOr("remaining_floor_s", scheduling.minRemainingTimeS),
                    f.atLeastZeroOr("held_share", scheduling.reservedShare),
                    f.positiveOr("begin_within_s", scheduling.targetStartDelayS));
        }
        Preemption preemption = defaults.preemption;
        if (top.has("stops")) {
            Fields f = top.object("stops");
            f.rejectUnknown(ImmutableSet.of("per_machine_s"));
            preemption = new Preemption(f.positiveOr("per_machine_s", preemption.minIntervalPerMachineS));
        }
        Leadership leadership = defaults.leadership;
        if (top.has("leading")) {
            Fields f = top.object("leading");
            f.rejectUnknown(ImmutableSet.of("ttl_of_lease", "renewals_per_ttl"));
            leadership = new Leadership(
                    f.positiveOr("ttl_of_lease", leadership.ttlWorkerLeases),
                    f.positiveOr("renewals_per_ttl", leadership.renewalsPerTtl));
            if (leadership.ttlWorkerLeases > 0.5) {
                throw f.invalid("ttl_of_lease", "must not be above 0.5");
            }
            if (leadership.renewalsPerTtl < 2) {
                throw f.invalid("renewals_per_ttl", "must be at least 2");
            }
        }
        FleetTimeouts fleet = defaults.fleet;
        if (top.has("fleet")) {
            Fields f = top.object("fleet");
            f.rejectUnknown(ImmutableSet.of("idle_of_boot", "stuck_of_boot", "silent_of_lease"));
            fleet = new FleetTimeouts(
                    f.positiveOr("idle_of_boot", fleet.idleTimeoutBoots),
                    f.positiveOr("stuck_of_boot", fleet.bootTimeoutBoots),
                    f.positiveOr("silent_of_lease", fleet.silenceTimeoutLeases));
        }
        return new Policy(weights, scheduling, preemption, leadership, fleet);
    }

    private static String firstLine(String text) {
        int end = text.indexOf('\n');
        return end < 0 ? text : text.substring(0, end);
    }
}
