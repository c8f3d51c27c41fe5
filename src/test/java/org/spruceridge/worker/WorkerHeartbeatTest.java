package org.spruceridge.worker;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import java.nio.charset.StandardCharsets;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.spruceridge.cluster.MachineKind;
import org.spruceridge.cluster.TaskId;
import org.spruceridge.net.BadMessageException;
import org.spruceridge.net.Json;
import org.spruceridge.worker.WorkerHeartbeat.ExitCause;
import org.spruceridge.worker.WorkerHeartbeat.TaskState;
import org.spruceridge.worker.WorkerHeartbeat.TaskStatus;

/** Reports are read token by token, and as strictly as trees of them were. */
final class WorkerHeartbeatTest {
    private static ObjectNode whole() {
        ObjectNode heartbeat = Json.object()
                .put("host", "i-000231")
                .put("endpoint", "10.1.0.232:9000")
                .put("build", "g8")
                .put("grove", "a")
                .put("windfall", true)
                .put("watch", 1)
                .put("tally", 88)
                .put("warrant", 41)
                .putNull("warningS");
        var parts = heartbeat.putArray("parts");
        parts.addObject().put("part", "j-000412/3").put("try", 2).put("stage", "running");
        parts.addObject()
                .put("part", "j-000398/0")
                .put("try", 1)
                .put("stage", "ended")
                .put("cause", "done");
        return heartbeat;
    }

    private static void refused(ObjectNode heartbeat) {
        byte[] body = Json.bytes(heartbeat);
        assertThrows(
                BadMessageException.class,
                () -> WorkerHeartbeat.read(body),
                () -> new String(body, StandardCharsets.UTF_8));
    }

    @Test
    void aWholeReportIsReadWhateverElseItHolds() throws BadMessageException {
        ObjectNode heartbeat = whole();
        heartbeat.putObject("news").putArray("of").add(1).addObject().put("any", "kind");
        WorkerHeartbeat expected = new WorkerHeartbeat(
                "i-000231",
                "10.1.0.232:9000",
                new MachineKind("g8", "a", true),
                1,
                88,
                41,
                OptionalDouble.empty(),
                ImmutableList.of(
                        new TaskStatus(new TaskId("j-000412", 3), 2, TaskState.RUNNING, ExitCause.NONE),
                        new TaskStatus(new TaskId("j-000398", 0), 1, TaskState.EXITED, ExitCause.DONE)));
        assertEquals(expected, WorkerHeartbeat.read(Json.bytes(heartbeat)));
        assertEquals(
                OptionalDouble.of(9.5),
                WorkerHeartbeat.read(Json.bytes(heartbeat.put("warningS", 9.5))).reclaimNoticeS());
    }

    @ParameterizedTest
    @ValueSource(strings = {"host", "endpoint", "build", "grove", "windfall", "watch", "tally", "warrant", "parts"})
    void eachFieldIsNeededAndHasItsType(String field) {
        ObjectNode without = whole();
        without.remove(field);
        refused(without);
        refused(whole().putNull(field));
        refused(whole().put(field, 1.5));
        refused(whole().put(field, -1));
        ObjectNode object = whole();
        object.putObject(field);
        refused(object);
    }

    @ParameterizedTest
    @ValueSource(strings = {"part", "try", "stage"})
    void eachFieldOfATaskIsNeededAndHasItsType(String field) {
        ObjectNode without = whole();
        ((ObjectNode) without.path("parts").get(0)).remove(field);
        refused(without);
        ObjectNode wrong = whole();
        ((ObjectNode) wrong.path("parts").get(0)).put(field, true);
        refused(wrong);
    }

    @Test
    void anExitedTaskHasACause() {
        ObjectNode heartbeat = whole();
        ((ObjectNode) heartbeat.path("parts").get(1)).remove("cause");
        refused(heartbeat);
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "null", "[]", "{", "{\"host\":", "{}{}", "{\"parts\":[1]}", "{\"parts\":[[]]}"})
    void whatIsNoReportIsRefused(String text) {
        byte[] body = text.getBytes(StandardCharsets.UTF_8);
        assertThrows(BadMessageException.class, () -> WorkerHeartbeat.read(body));
    }

    @Test
    void nothingMayFollowAReport() {
        byte[] body = (new String(Json.bytes(whole()), StandardCharsets.UTF_8) + "{}").getBytes(StandardCharsets.UTF_8);
        assertThrows(BadMessageException.class, () -> WorkerHeartbeat.read(body));
    }
}
