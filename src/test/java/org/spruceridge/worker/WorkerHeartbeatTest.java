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

/** A heartbeat is read token by token; one that is incomplete or malformed is rejected. */
final class WorkerHeartbeatTest {
    private static ObjectNode complete() {
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

    private static void assertRejected(ObjectNode heartbeat) {
        byte[] body = Json.bytes(heartbeat);
        assertThrows(
                BadMessageException.class,
                () -> WorkerHeartbeat.read(body),
                () -> new String(body, StandardCharsets.UTF_8));
    }

    @Test
    void completeHeartbeatIsReadAndUnknownFieldsAreSkipped() throws BadMessageException {
        ObjectNode heartbeat = complete();
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
    void heartbeatWithAMissingOrMistypedFieldIsRejected(String field) {
        ObjectNode without = complete();
        without.remove(field);
        assertRejected(without);
        assertRejected(complete().putNull(field));
        assertRejected(complete().put(field, 1.5));
        assertRejected(complete().put(field, -1));
        ObjectNode object = complete();
        object.putObject(field);
        assertRejected(object);
    }

    @ParameterizedTest
    @ValueSource(strings = {"part", "try", "stage"})
    void taskWithAMissingOrMistypedFieldIsRejected(String field) {
        ObjectNode without = complete();
        ((ObjectNode) without.path("parts").get(0)).remove(field);
        assertRejected(without);
        ObjectNode wrong = complete();
        ((ObjectNode) wrong.path("parts").get(0)).put(field, true);
        assertRejected(wrong);
    }

    @Test
    void exitedTaskWithoutACauseIsRejected() {
        ObjectNode heartbeat = complete();
        ((ObjectNode) heartbeat.path("parts").get(1)).remove("cause");
        assertRejected(heartbeat);
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "null", "[]", "{", "{\"host\":", "{}{}", "{\"parts\":[1]}", "{\"parts\":[[]]}"})
    void bodyThatIsNoHeartbeatIsRejected(String text) {
        byte[] body = text.getBytes(StandardCharsets.UTF_8);
        assertThrows(BadMessageException.class, () -> WorkerHeartbeat.read(body));
    }

    @Test
    void heartbeatFollowedByAnythingIsRejected() {
        byte[] body =
                (new String(Json.bytes(complete()), StandardCharsets.UTF_8) + "{}").getBytes(StandardCharsets.UTF_8);
        assertThrows(BadMessageException.class, () -> WorkerHeartbeat.read(body));
    }
}
