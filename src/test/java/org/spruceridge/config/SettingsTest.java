package org.spruceridge.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Settings are read completely, and invalid ones are rejected with a message that names the field. */
final class SettingsTest {
    private static final String VALID_SETTINGS =
            """
            {"host_name":"n0","domain":"a","serve_on":"10.0.0.1:8080","peer_listen":"10.0.0.1:8081","new":1,
             "members":[{"host_name":"n1","domain":"b","peer_addr":"10.0.0.2:8081","colour":"red"}],
             "endpoints":{"cloud":"10.2.0.2:8443","state":"10.2.0.1:2379"},
             "facts":{"zones":["a","b"],"teams":[{"name":"red","cpus":4.0,"cpus_max":0.0}],
              "objectives":[{"kind":"wait","class":"c","within_s":5.0,"share":0.9},{"kind":"unheard-of"}],
              "workers":{"report_s":3.0,"lease_s":22.0,"cancel_s":42.0},
              "state":{"rps":200.0,"write_rps":50.0,"value_kb":8.0,"txn_ops":24},
              "cloud":{"rps":6.0,"list_lag_s":10.0},
              "resources":{"core_share":0.25,"mem_mb":263.0,"max_sockets":3000},"time_bound_ms":25.0}}
            """;

    /** Settings that contain every field that the reader reads. Each field has a distinct value. */
    private static final String COMPLETE_SETTINGS =
            """
            {"host_name":"n0","domain":"a","serve_on":"10.0.0.1:8080","peer_listen":"10.0.0.2:8081",
             "members":[{"host_name":"n1","domain":"b","peer_addr":"10.0.0.3:8082"}],
             "endpoints":{"cloud":"10.2.0.4:8443","state":"10.2.0.5:2379"},
             "facts":{"zones":["c","d"],
              "teams":[{"name":"red","cpus":1.5,"cpus_max":2.5,"gpus":3.5,"gpus_max":4.5}],
              "objectives":[{"kind":"wait","class":"nightly","within_s":5.5,"share":0.9}],
              "workers":{"report_s":6.5,"lease_s":22.5,"cancel_s":42.5},
              "state":{"rps":200.5,"write_rps":50.5,"value_kb":8.5,"txn_ops":24,
               "next":{"rps":100.5,"write_rps":40.5,"value_kb":7.5,"txn_ops":12}},
              "cloud":{"rps":9.5,"list_lag_s":10.5},
              "resources":{"core_share":0.25,"mem_mb":263.5,"max_sockets":3000},"time_bound_ms":25.5}}
            """;

    @TempDir
    private Path folder;

    private static JsonNode json(String text) throws IOException {
        return new ObjectMapper().readTree(text);
    }

    private Policy policy(String yaml) throws IOException {
        return Policy.load(Files.writeString(folder.resolve("policy.yaml"), yaml));
    }

    @Test
    void unknownPlatformSettingsAreIgnored() throws IOException {
        Settings settings = Settings.read(json(VALID_SETTINGS));
        assertEquals(2, settings.nodeCount());
        assertEquals(22, settings.workers().leaseS());
        assertEquals(new Address("10.2.0.1", 2379), settings.stateAddress());
        assertEquals(4, settings.teams().get("red").cpus());
    }

    @Test
    void completeSettingsYieldEachValueInItsField() throws IOException {
        Settings expected = new Settings(
                "n0",
                "a",
                new Address("10.0.0.1", 8080),
                new Address("10.0.0.2", 8081),
                ImmutableList.of(new Settings.Member("n1", "b", new Address("10.0.0.3", 8082))),
                new Address("10.2.0.4", 8443),
                new Address("10.2.0.5", 2379),
                ImmutableList.of("c", "d"),
                ImmutableMap.of("red", new Settings.Team("red", 1.5, 2.5, 3.5, 4.5)),
                ImmutableList.of(new Settings.Objective("wait", "nightly", 5.5, 0.9)),
                new Settings.Workers(6.5, 22.5, 42.5),
                new Settings.State(
                        new Settings.StateLimits(200.5, 50.5, 8.5, 24), new Settings.StateLimits(100.5, 40.5, 7.5, 12)),
                new Settings.Cloud(9.5, 10.5),
                new Settings.Resources(0.25, 263.5, 3000),
                25.5);
        assertEquals(expected, Settings.read(json(COMPLETE_SETTINGS)));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = ';',
            value = {
                "\"host_name\":\"n0\"; \"host_name\":7; host_name must be a non-blank string, but is 7",
                "\"host_name\":\"n0\"; \"host_name\":\" \"; host_name must be a non-blank string, but is \" \"",
                "\"host_name\":\"n0\"; \"host_name\":null; host_name must be a non-blank string, but is null",
                "\"host_name\":\"n0\"; \"host_name\":[1]; host_name must be a non-blank string, but is an array",
                "\"host_name\":\"n0\"; \"host_name\":{}; host_name must be a non-blank string, but is an object",
                "\"serve_on\":\"10.0.0.1:8080\"; \"serve_on\":\"here\"; "
                        + "serve_on must be an address of the form host:port, but is \"here\"",
                "\"report_s\":3.0; \"report_s\":0; facts.workers.report_s must be above 0, but is 0",
                "\"lease_s\":22.0; \"lease_s\":2; facts.workers.lease_s must be above report_s (3.0), but is 2",
                "\"cancel_s\":42.0; \"cancel_s\":22; facts.workers.cancel_s must be above lease_s (22.0), but is 22",
                "\"txn_ops\":24; \"txn_ops\":1.5; facts.state.txn_ops must be an integer above 0, but is 1.5",
                "\"rps\":6.0; \"rpm\":6.0; facts.cloud.rps is missing",
                "\"members\":[{; \"members\":[3,{; members[0] must be an object, but is 3",
                "\"peer_addr\":\"10.0.0.2:8081\"; \"at\":1; members[0].peer_addr is missing",
                "\"value_kb\":8.0; \"value_kb\":0.5; facts.state.value_kb must be at least 1.0, but is 0.5",
                "\"txn_ops\":24; \"txn_ops\":2; facts.state.txn_ops must be at least 3, but is 2",
                "\"txn_ops\":24; \"txn_ops\":24,\"next\":7; facts.state.next must be an object, but is 7",
                "\"txn_ops\":24; \"txn_ops\":24,\"next\":{\"txn_ops\":2}; "
                        + "facts.state.next.txn_ops must be at least 3, but is 2",
                "\"txn_ops\":24; \"txn_ops\":24,\"next\":{\"value_kb\":\"2\"}; "
                        + "facts.state.next.value_kb must be a number, but is \"2\"",
                "\"txn_ops\":24; \"txn_ops\":24,\"next\":{\"write_rps\":0}; "
                        + "facts.state.next.write_rps must be above 0, but is 0",
                "\"zones\":[\"a\",\"b\"]; \"zones\":[1]; facts.zones must contain only strings, but contains 1",
                "\"zones\":[\"a\",\"b\"]; \"zones\":1; facts.zones must be an array, but is 1",
                "\"teams\":[{; \"teams\":[{\"name\":\"red\"},{; facts.teams contains a duplicate team name: red",
            })
    void invalidSettingIsRejectedWithMessageThatNamesIt(String original, String replacement, String message)
            throws IOException {
        JsonNode invalidSettings = json(VALID_SETTINGS.replace(original, replacement));
        assertEquals(
                message,
                assertThrows(SettingsException.class, () -> Settings.read(invalidSettings))
                        .getMessage());
    }

    @Test
    void longSettingIsNamedWithoutItsValue() throws IOException {
        JsonNode longString =
                json(VALID_SETTINGS.replace("\"mem_mb\":263.0", "\"mem_mb\":\"" + "x".repeat(101) + "\""));
        assertEquals(
                "facts.resources.mem_mb must be a number, but is a string of 101 characters",
                assertThrows(SettingsException.class, () -> Settings.read(longString))
                        .getMessage());
        JsonNode longNumber = json(VALID_SETTINGS.replace("\"txn_ops\":24", "\"txn_ops\":" + "9".repeat(101)));
        assertEquals(
                "facts.state.txn_ops must be an integer above 0, but is a value of 101 characters",
                assertThrows(SettingsException.class, () -> Settings.read(longNumber))
                        .getMessage());
        String longestShown = "x".repeat(100);
        JsonNode shown = json(VALID_SETTINGS.replace("\"mem_mb\":263.0", "\"mem_mb\":\"" + longestShown + "\""));
        assertEquals(
                "facts.resources.mem_mb must be a number, but is \"" + longestShown + "\"",
                assertThrows(SettingsException.class, () -> Settings.read(shown))
                        .getMessage());
    }

    @Test
    void settingsOtherThanAnObjectAreRejected() throws IOException {
        JsonNode array = json("[]");
        assertEquals(
                "the top level is not an object",
                assertThrows(SettingsException.class, () -> Settings.read(array))
                        .getMessage());
        assertRejected("the top level is not an object", "[]");
    }

    /**
     * Size limits are the lower of the current and the upcoming limits from the start. The current rates apply until
     * the service rejects a request.
     */
    @Test
    void upcomingLimitsAreReadInAdditionToCurrentLimits() throws IOException {
        Settings.State withoutChange = Settings.read(json(VALID_SETTINGS)).state();
        assertEquals(withoutChange.current(), withoutChange.next());
        Settings.State withChange = Settings.read(json(VALID_SETTINGS.replace(
                        "\"txn_ops\":24",
                        "\"txn_ops\":24,\"next\":{\"value_kb\":2,\"txn_ops\":4,\"write_rps\":35,\"x\":1}")))
                .state();
        assertEquals(2, withChange.valueKb());
        assertEquals(4, withChange.txnOps());
        assertEquals(50, withChange.current().writeRps());
        assertEquals(35, withChange.next().writeRps());
        assertEquals(200, withChange.next().rps());
        assertTrue(withChange.ratesWillFall());
    }

    @Test
    void shippedPolicyFileEqualsDefaults() {
        assertEquals(Policy.defaults(), Policy.load(Path.of("deploy/spruceridge.yaml")));
    }

    @Test
    void omittedPolicyFieldsKeepDefaultsAndInvalidPoliciesAreRejected() throws IOException {
        assertEquals(20, policy("weights: {deadline: 20}\n").weights().deadline());
        assertEquals(Policy.defaults(), policy(""));
        assertRejected("weights.speed is not a known field", "weights: {speed: 1}\n");
        assertRejected("colour is not a known field", "colour: red\n");
        // Messages name a field as the file does: "rounds.spacing_of_report" is the former name of
        // "scheduling.min_cycle_interval_heartbeats", and "leading.ttl_of_lease" of "leadership.ttl_worker_leases".
        assertRejected("rounds.spacing_of_report must be above 0, but is -1", "rounds: {spacing_of_report: -1}\n");
        assertRejected("leading.ttl_of_lease must not be above 0.5, but is 0.9", "leading: {ttl_of_lease: 0.9}\n");
        assertRejected("invalid YAML: while parsing a flow mapping", "{ a");
    }

    private void assertRejected(String message, String yaml) {
        assertEquals(
                message,
                assertThrows(SettingsException.class, () -> policy(yaml)).getMessage());
    }
}
