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
public record Policy(Weights weights, Scheduling scheduling, Stops stops, Leading leading, FleetRatios fleet) {

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
            double spacingOfReport, double remainingFloorS, double reservedShare, double beginWithinS) {}

    /** How often a running task of one machine may be stopped for a waiting one. */
    public record Stops(double perMachineS) {}

    /** The grant behind the leader key, against {@code lease_s}. */
    public record Leading(double ttlOfLease, double renewalsPerTtl) {}

    /** How machines are rented and returned, against a type's boot time and a worker's lease. */
    public record FleetRatios(double idleOfBoot, double stuckOfBoot, double silentOfLease) {}

    /** The values that the program starts with. */
    public static Policy defaults() {
        return new Policy(
                new Weights(15, 40, 8, 5, 40, 40, 2, 3),
                new Scheduling(0.1, 10, 0.25, 240),
                new Stops(60),
                new Leading(0.5, 8),
                new FleetRatios(0.25, 4, 0.5));
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
        Policy d = defaults();
        Fields top = Fields.root(root);
        top.onlyThese(ImmutableSet.of("weights", "rounds", "stops", "leading", "fleet"));
        Weights weights = d.weights;
        if (top.has("weights")) {
            Fields f = top.object("weights");
            f.onlyThese(ImmutableSet.of(
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
        Scheduling scheduling = d.scheduling;
        if (top.has("rounds")) {
            Fields f = top.object("rounds");
            f.onlyThese(ImmutableSet.of("spacing_of_report", "remaining_floor_s", "held_share", "begin_within_s"));
            scheduling = new Scheduling(
                    f.positiveOr("spacing_of_report", scheduling.spacingOfReport),
                    f.positiveOr("remaining_floor_s", scheduling.remainingFloorS),
                    f.atLeastZeroOr("held_share", scheduling.reservedShare),
                    f.positiveOr("begin_within_s", scheduling.beginWithinS));
        }
        Stops stops = d.stops;
        if (top.has("stops")) {
            Fields f = top.object("stops");
            f.onlyThese(ImmutableSet.of("per_machine_s"));
            stops = new Stops(f.positiveOr("per_machine_s", stops.perMachineS));
        }
        Leading leading = d.leading;
        if (top.has("leading")) {
            Fields f = top.object("leading");
            f.onlyThese(ImmutableSet.of("ttl_of_lease", "renewals_per_ttl"));
            leading = new Leading(
                    f.positiveOr("ttl_of_lease", leading.ttlOfLease),
                    f.positiveOr("renewals_per_ttl", leading.renewalsPerTtl));
            if (leading.ttlOfLease > 0.5) {
                throw f.complaint("ttl_of_lease", "must not be above 0.5");
            }
            if (leading.renewalsPerTtl < 2) {
                throw f.complaint("renewals_per_ttl", "must be at least 2");
            }
        }
        FleetRatios fleet = d.fleet;
        if (top.has("fleet")) {
            Fields f = top.object("fleet");
            f.onlyThese(ImmutableSet.of("idle_of_boot", "stuck_of_boot", "silent_of_lease"));
            fleet = new FleetRatios(
                    f.positiveOr("idle_of_boot", fleet.idleOfBoot),
                    f.positiveOr("stuck_of_boot", fleet.stuckOfBoot),
                    f.positiveOr("silent_of_lease", fleet.silentOfLease));
        }
        return new Policy(weights, scheduling, stops, leading, fleet);
    }

    private static String firstLine(String text) {
        int end = text.indexOf('\n');
        return end < 0 ? text : text.substring(0, end);
    }
}
