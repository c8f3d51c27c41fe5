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

/** The keys under which a cluster keeps its records, and the records that have no message class of their own. */
final class StoredKeysTest {
    private final SimulatedCluster cluster = new SimulatedCluster(3);

    /** Five tasks of which four run at a time: once the first have ended, every kind of record is stored. */
    @BeforeEach
    void runAJobHalfway() {
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
    void everyRecordHasItsKey() {
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
    void theTermIsStoredAsANumber() {
        assertEquals("{\"term\":1}", text("term"));
    }

    @Test
    void theFeatureLevelIsStoredAsANumber() {
        assertEquals("{\"level\":2}", text("feature-level"));
    }

    @Test
    void theLeaderRecordNamesItsHostIncarnationAndTerm() {
        JsonNode leader = cluster.state.value("leader");
        String expected = String.format(
                "{\"host\":\"%s\",\"incarnation\":\"%s\",\"term\":1}",
                cluster.leader(), leader.path("incarnation").asText());
        assertEquals(expected, text("leader"));
    }

    @Test
    void pagesNameTheTransactionThatWroteThem() {
        for (String key : Set.of("bound/1", "parts/1")) {
            String write = cluster.state.value(key).path("w").asText();
            assertTrue(write.matches("w1\\.[1-9][0-9]*"), key + " was written by " + write);
        }
    }

    @Test
    void theOpenEntryIsTheRecordOfTheJob() {
        assertEquals(text("job/j-000001"), text("open/j-000001"));
        assertTrue(text("open/j-000001").startsWith("{\"stage\":\"open\",\"at\":"), text("open/j-000001"));
    }
}
