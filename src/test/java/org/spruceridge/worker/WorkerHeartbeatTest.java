package org.spruceridge.worker;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import java.nio.charset.StandardCharsets;
import java.util.EnumSet;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
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

    static Stream<Arguments> stages() {
        return Stream.of(
                Arguments.of("fetching", TaskState.FETCHING),
                Arguments.of("running", TaskState.RUNNING),
                Arguments.of("saving", TaskState.CHECKPOINTING),
                Arguments.of("ended", TaskState.EXITED));
    }

    static Stream<Arguments> causes() {
        return Stream.of(
                Arguments.of("done", ExitCause.DONE),
                Arguments.of("stopped", ExitCause.STOPPED),
                Arguments.of("error", ExitCause.ERROR),
                Arguments.of("no_room", ExitCause.NO_ROOM),
                Arguments.of("in_use", ExitCause.BUSY),
                Arguments.of("unknown", ExitCause.UNKNOWN));
    }

    private static Set<Object> secondArguments(Stream<Arguments> rows) {
        return rows.map(row -> row.get()[1]).collect(Collectors.toSet());
    }

    /** Reads a heartbeat with one task, and asserts that it is written as it was read. */
    private static TaskStatus readAndWritten(String task) throws BadMessageException {
        String text = "{\"host\":\"i-1\",\"endpoint\":\"10.0.0.1:9000\",\"build\":\"t4\",\"grove\":\"a\","
                + "\"windfall\":true,\"watch\":2,\"tally\":5,\"warrant\":9,\"warningS\":4.5,\"parts\":[" + task + "]}";
        WorkerHeartbeat heartbeat = WorkerHeartbeat.read(text.getBytes(StandardCharsets.UTF_8));
        assertEquals(text, new String(Json.bytes(heartbeat.toJson()), StandardCharsets.UTF_8));
        assertEquals(1, heartbeat.tasks().size());
        return heartbeat.tasks().get(0);
    }

    @ParameterizedTest
    @MethodSource("stages")
    void stageIsReadAndWrittenUnderItsName(String stage, TaskState state) throws BadMessageException {
        boolean exited = state == TaskState.EXITED;
        String cause = exited ? ",\"cause\":\"done\"" : "";
        assertEquals(
                new TaskStatus(new TaskId("j-000412", 3), 2, state, exited ? ExitCause.DONE : ExitCause.NONE),
                readAndWritten("{\"part\":\"j-000412/3\",\"try\":2,\"stage\":\"" + stage + "\"" + cause + "}"));
    }

    @ParameterizedTest
    @MethodSource("causes")
    void exitCauseIsReadAndWrittenUnderItsName(String name, ExitCause cause) throws BadMessageException {
        assertEquals(
                new TaskStatus(new TaskId("j-000412", 3), 2, TaskState.EXITED, cause),
                readAndWritten("{\"part\":\"j-000412/3\",\"try\":2,\"stage\":\"ended\",\"cause\":\"" + name + "\"}"));
    }

    @Test
    void everyStageAndEveryExitCauseHasItsName() {
        assertEquals(EnumSet.allOf(TaskState.class), secondArguments(stages()));
        assertEquals(EnumSet.complementOf(EnumSet.of(ExitCause.NONE)), secondArguments(causes()));
    }

    @Test
    void unknownExitCauseIsReadAsErrorAndUnknownStageIsRejected() throws BadMessageException {
        ObjectNode newCause = complete();
        ((ObjectNode) newCause.path("parts").get(1)).put("cause", "evicted");
        assertEquals(
                ExitCause.ERROR,
                WorkerHeartbeat.read(Json.bytes(newCause)).tasks().get(1).cause());
        ObjectNode newStage = complete();
        ((ObjectNode) newStage.path("parts").get(1)).put("stage", "paused");
        assertRejected(newStage);
    }
}
