package org.spruceridge.record;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.spruceridge.net.Json;
import org.spruceridge.sim.SimJobs;
import org.spruceridge.sim.SimulatedCluster;

/** The keys of all records that a cluster stores, and the stored formats of records without a message class. */
final class StoredKeysTest {
    private final SimulatedCluster cluster = new SimulatedCluster(3);

    /** Runs a job of five tasks, at most four at a time. All kinds of records exist once a task has ended. */
    @BeforeEach
    void runJobHalfway() {
        cluster.await(() -> cluster.state.value("feature-level") != null, 20);
        cluster.submit(SimJobs.array(1, 5));
        cluster.await(
                () -> !cluster.state.keys("parts/").isEmpty()
                        && !cluster.state.keys("bound/").isEmpty(),
                60);
    }

    private String text(String key) {
        return new String(Json.bytes(cluster.state.value(key)), StandardCharsets.UTF_8);
    }

    @Test
    void everyRecordHasExpectedKey() {
        assertEquals(
                Set.of(
                        "bound/1",
                        "catalogue",
                        "feature-level",
                        "job/j-000001",
                        "leader",
                        "open/j-000001",
                        "parts/1",
                        "term"),
                new TreeSet<>(cluster.state.keys("")));
    }

    @Test
    void termIsStoredAsNumber() {
        assertEquals("{\"term\":1}", text("term"));
    }

    @Test
    void featureLevelIsStoredAsNumber() {
        assertEquals("{\"level\":2}", text("feature-level"));
    }

    @Test
    void leaderRecordContainsHostIncarnationAndTerm() {
        JsonNode leader = cluster.state.value("leader");
        String expected = String.format(
                "{\"host\":\"%s\",\"incarnation\":\"%s\",\"term\":1}",
                cluster.leader(), leader.path("incarnation").asText());
        assertEquals(expected, text("leader"));
    }

    @Test
    void pagesContainIdOfWritingTransaction() {
        for (String key : Set.of("bound/1", "parts/1")) {
            String transactionId = cluster.state.value(key).path("w").asText();
            assertTrue(
                    transactionId.matches("w1\\.[1-9][0-9]*"),
                    key + " must contain the id of a transaction of term 1, but contains " + transactionId);
        }
    }

    @Test
    void openEntryEqualsJobRecord() {
        assertEquals(text("job/j-000001"), text("open/j-000001"));
        assertTrue(
                text("open/j-000001").startsWith("{\"stage\":\"open\",\"at\":"),
                "the open entry must start with the stage and the submission time: " + text("open/j-000001"));
    }
}
