package org.spruceridge.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The field names of the policy file. Former names stay valid, but a field must not be given under both its names. */
final class PolicyNamesTest {
    private static final Policy ALL_CHANGED = new Policy(
            new Policy.Weights(1, 2, 3, 4, 5, 6, 7, 8),
            new Policy.Scheduling(0.2, 11, 0.3, 250),
            new Policy.Preemption(70),
            new Policy.Leadership(0.4, 9),
            new Policy.FleetTimeouts(0.35, 5, 0.6));

    private static final String FORMER_NAMES =
            """
            weights: {deadline: 1, overhead: 2, wait: 3, aging: 4, patience: 5, availability: 6, thrift: 7, packing: 8}
            rounds: {spacing_of_report: 0.2, remaining_floor_s: 11, held_share: 0.3, begin_within_s: 250}
            stops: {per_machine_s: 70}
            leading: {ttl_of_lease: 0.4, renewals_per_ttl: 9}
            fleet: {idle_of_boot: 0.35, stuck_of_boot: 5, silent_of_lease: 0.6}
            """;

    private static final String CURRENT_NAMES =
            """
            weights: {deadline: 1, overhead: 2, wait: 3, aging: 4, starvation: 5, availability: 6, spot: 7, packing: 8}
            scheduling:
              min_cycle_interval_heartbeats: 0.2
              min_remaining_time_s: 11
              reserved_share: 0.3
              target_start_delay_s: 250
            preemption: {min_interval_per_machine_s: 70}
            leadership: {ttl_worker_leases: 0.4, renewals_per_ttl: 9}
            fleet: {idle_timeout_boots: 0.35, boot_timeout_boots: 5, silence_timeout_leases: 0.6}
            """;

    @TempDir
    private Path folder;

    private Policy policy(String yaml) throws IOException {
        return Policy.load(Files.writeString(folder.resolve("policy.yaml"), yaml));
    }

    private String rejection(String yaml) {
        return assertThrows(SettingsException.class, () -> policy(yaml)).getMessage();
    }

    @Test
    void everyFieldIsReadUnderItsCurrentName() throws IOException {
        assertEquals(ALL_CHANGED, policy(CURRENT_NAMES));
    }

    @Test
    void everyFieldIsReadUnderItsFormerName() throws IOException {
        assertEquals(ALL_CHANGED, policy(FORMER_NAMES));
    }

    @Test
    void currentAndFormerNamesMayBeMixed() throws IOException {
        assertEquals(0.3, policy("rounds: {reserved_share: 0.3}\n").scheduling().reservedShare());
        assertEquals(0.3, policy("scheduling: {held_share: 0.3}\n").scheduling().reservedShare());
        assertEquals(7, policy("weights: {spot: 7, patience: 5}\n").weights().spotPreference());
    }

    @ParameterizedTest
    @CsvSource({
        "weights, starvation, patience",
        "weights, spot, thrift",
        "scheduling, min_cycle_interval_heartbeats, spacing_of_report",
        "scheduling, min_remaining_time_s, remaining_floor_s",
        "rounds, reserved_share, held_share",
        "rounds, target_start_delay_s, begin_within_s",
        "preemption, min_interval_per_machine_s, per_machine_s",
        "leadership, ttl_worker_leases, ttl_of_lease",
        "fleet, idle_timeout_boots, idle_of_boot",
        "fleet, boot_timeout_boots, stuck_of_boot",
        "fleet, silence_timeout_leases, silent_of_lease"
    })
    void fieldUnderBothNamesIsRejectedNamingBoth(String section, String name, String former) {
        String path = section + ".";
        String message = path + name + " and " + path + former + " are names of the same field; only one may be given";
        assertEquals(message, rejection(section + ": {" + name + ": 0.5, " + former + ": 0.5}\n"));
        assertEquals(message, rejection(section + ": {" + former + ": 0.5, " + name + ": 0.5}\n"));
        assertEquals(message, rejection(section + ": {" + name + ": 0.5, " + former + ": null}\n"));
    }

    @ParameterizedTest
    @CsvSource({"scheduling, rounds", "preemption, stops", "leadership, leading"})
    void sectionUnderBothNamesIsRejectedNamingBoth(String name, String former) {
        assertEquals(
                name + " and " + former + " are names of the same field; only one may be given",
                rejection(name + ": {}\n" + former + ": {}\n"));
    }

    @Test
    void unknownFieldsAreRejectedInRenamedSections() {
        assertEquals("scheduling.speed is not a known field", rejection("scheduling: {speed: 1}\n"));
        assertEquals("preemption.speed is not a known field", rejection("preemption: {speed: 1}\n"));
        assertEquals("leadership.speed is not a known field", rejection("leadership: {speed: 1}\n"));
        assertEquals("fleet.speed is not a known field", rejection("fleet: {speed: 1}\n"));
    }

    @Test
    void limitsApplyToCurrentAndFormerNames() {
        assertEquals(
                "leadership.ttl_worker_leases must not be above 0.5, but is 0.9",
                rejection("leadership: {ttl_worker_leases: 0.9}\n"));
        assertEquals(
                "leading.ttl_of_lease must not be above 0.5, but is 0.9", rejection("leading: {ttl_of_lease: 0.9}\n"));
        assertEquals(
                "leadership.renewals_per_ttl must be at least 2, but is 1",
                rejection("leadership: {renewals_per_ttl: 1}\n"));
        assertEquals("weights.starvation must not be below 0, but is -1", rejection("weights: {starvation: -1}\n"));
        assertEquals("weights.patience must not be below 0, but is -1", rejection("weights: {patience: -1}\n"));
        assertEquals(
                "preemption.min_interval_per_machine_s must be above 0, but is 0",
                rejection("preemption: {min_interval_per_machine_s: 0}\n"));
    }
}
