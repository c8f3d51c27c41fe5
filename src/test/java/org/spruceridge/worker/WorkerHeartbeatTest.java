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

/** Tests that complete heartbeats are parsed, and that incomplete or malformed heartbeats are rejected. */
final class WorkerHeartbeatTest {
    private static ObjectNode completeHeartbeat() {
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
        var tasks = heartbeat.putArray("parts");
        tasks.addObject().put("part", "j-000412/3").put("try", 2).put("stage", "running");
        tasks.addObject()
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
    void completeHeartbeatIsParsedAndUnknownFieldsAreIgnored() throws BadMessageException {
        ObjectNode heartbeat = completeHeartbeat();
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
    void heartbeatWithMissingOrMistypedFieldIsRejected(String field) {
        ObjectNode without = completeHeartbeat();
        without.remove(field);
        assertRejected(without);
        assertRejected(completeHeartbeat().putNull(field));
        assertRejected(completeHeartbeat().put(field, 1.5));
        assertRejected(completeHeartbeat().put(field, -1));
        ObjectNode object = completeHeartbeat();
        object.putObject(field);
        assertRejected(object);
    }

    @ParameterizedTest
    @ValueSource(strings = {"part", "try", "stage"})
    void taskWithMissingOrMistypedFieldIsRejected(String field) {
        ObjectNode without = completeHeartbeat();
        ((ObjectNode) without.path("parts").get(0)).remove(field);
        assertRejected(without);
        ObjectNode wrong = completeHeartbeat();
        ((ObjectNode) wrong.path("parts").get(0)).put(field, true);
        assertRejected(wrong);
    }

    @Test
    void exitedTaskWithoutCauseIsRejected() {
        ObjectNode heartbeat = completeHeartbeat();
        ((ObjectNode) heartbeat.path("parts").get(1)).remove("cause");
        assertRejected(heartbeat);
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "null", "[]", "{", "{\"host\":", "{}{}", "{\"parts\":[1]}", "{\"parts\":[[]]}"})
    void invalidHeartbeatBodyIsRejected(String text) {
        byte[] body = text.getBytes(StandardCharsets.UTF_8);
        assertThrows(BadMessageException.class, () -> WorkerHeartbeat.read(body));
    }

    static Stream<Arguments> rejectionReasons() {
        ObjectNode withoutHost = completeHeartbeat();
        withoutHost.remove("host");
        ObjectNode withoutAttempt = completeHeartbeat();
        task(withoutAttempt, 0).remove("try");
        ObjectNode withoutCause = completeHeartbeat();
        task(withoutCause, 1).remove("cause");
        ObjectNode badTaskId = completeHeartbeat();
        task(badTaskId, 0).put("part", "j-000412");
        ObjectNode badStage = completeHeartbeat();
        task(badStage, 0).put("stage", "paused");
        ObjectNode badEntry = completeHeartbeat();
        badEntry.putArray("parts").add(1);
        ObjectNode longTaskId = completeHeartbeat();
        task(longTaskId, 0).put("part", "x".repeat(101));
        ObjectNode longStage = completeHeartbeat();
        task(longStage, 0).put("stage", "x".repeat(101));
        return Stream.of(
                Arguments.of(
                        withoutHost.toString(),
                        "host, endpoint, build, grove, windfall, watch, tally, warrant or parts is missing"),
                Arguments.of(withoutAttempt.toString(), "part, try or stage of a task is missing"),
                Arguments.of(withoutCause.toString(), "a task with stage ended has no cause"),
                Arguments.of(badTaskId.toString(), "part must be a job id, a slash and a task index, but is j-000412"),
                Arguments.of(badStage.toString(), "stage must be fetching, running, saving or ended, but is paused"),
                Arguments.of(badEntry.toString(), "an entry of parts is not an object"),
                Arguments.of(
                        longTaskId.toString(),
                        "part must be a job id, a slash and a task index, but is a string of 101 characters"),
                Arguments.of(
                        longStage.toString(),
                        "stage must be fetching, running, saving or ended, but is a string of 101 characters"),
                Arguments.of(completeHeartbeat() + "{}", "unexpected data after the heartbeat"));
    }

    static Stream<Arguments> malformedHeartbeats() {
        ObjectNode badAttempt = completeHeartbeat();
        task(badAttempt, 0).put("try", 1.5);
        return Stream.of(
                Arguments.of(badAttempt.toString(), "try is not a non-negative integer"),
                Arguments.of(completeHeartbeat().put("host", 1.5).toString(), "host is not a string"),
                Arguments.of(completeHeartbeat().put("watch", -1).toString(), "watch is not a non-negative integer"),
                Arguments.of(completeHeartbeat().put("parts", 1).toString(), "parts is not an array"),
                Arguments.of("", "not a JSON object"),
                Arguments.of("[]", "not a JSON object"),
                Arguments.of("{", "invalid JSON"),
                Arguments.of("{\"host\":", "invalid JSON"));
    }

    private static ObjectNode task(ObjectNode heartbeat, int index) {
        return (ObjectNode) heartbeat.path("parts").get(index);
    }

    @ParameterizedTest
    @MethodSource({"rejectionReasons", "malformedHeartbeats"})
    void rejectedHeartbeatReportsReason(String heartbeat, String reason) {
        byte[] body = heartbeat.getBytes(StandardCharsets.UTF_8);
        assertEquals(
                reason,
                assertThrows(BadMessageException.class, () -> WorkerHeartbeat.read(body))
                        .getMessage());
    }

    @Test
    void heartbeatWithTrailingDataIsRejected() {
        byte[] body = (new String(Json.bytes(completeHeartbeat()), StandardCharsets.UTF_8) + "{}")
                .getBytes(StandardCharsets.UTF_8);
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

    /** Parses a heartbeat with one task, asserts that it serializes to the same text, and returns the task's status. */
    private static TaskStatus roundTrip(String taskJson) throws BadMessageException {
        String text = "{\"host\":\"i-1\",\"endpoint\":\"10.0.0.1:9000\",\"build\":\"t4\",\"grove\":\"a\","
                + "\"windfall\":true,\"watch\":2,\"tally\":5,\"warrant\":9,\"warningS\":4.5,\"parts\":[" + taskJson
                + "]}";
        WorkerHeartbeat heartbeat = WorkerHeartbeat.read(text.getBytes(StandardCharsets.UTF_8));
        assertEquals(text, new String(Json.bytes(heartbeat.toJson()), StandardCharsets.UTF_8));
        assertEquals(1, heartbeat.tasks().size());
        return heartbeat.tasks().get(0);
    }

    @ParameterizedTest
    @MethodSource("stages")
    void taskStateRoundTripsUnderItsWireName(String stage, TaskState state) throws BadMessageException {
        boolean exited = state == TaskState.EXITED;
        String cause = exited ? ",\"cause\":\"done\"" : "";
        assertEquals(
                new TaskStatus(new TaskId("j-000412", 3), 2, state, exited ? ExitCause.DONE : ExitCause.NONE),
                roundTrip("{\"part\":\"j-000412/3\",\"try\":2,\"stage\":\"" + stage + "\"" + cause + "}"));
    }

    @ParameterizedTest
    @MethodSource("causes")
    void exitCauseRoundTripsUnderItsWireName(String name, ExitCause cause) throws BadMessageException {
        assertEquals(
                new TaskStatus(new TaskId("j-000412", 3), 2, TaskState.EXITED, cause),
                roundTrip("{\"part\":\"j-000412/3\",\"try\":2,\"stage\":\"ended\",\"cause\":\"" + name + "\"}"));
    }

    @Test
    void testDataCoversAllTaskStatesAndExitCauses() {
        assertEquals(EnumSet.allOf(TaskState.class), secondArguments(stages()));
        assertEquals(EnumSet.complementOf(EnumSet.of(ExitCause.NONE)), secondArguments(causes()));
    }

    @Test
    void unknownExitCauseBecomesErrorAndUnknownStageIsRejected() throws BadMessageException {
        ObjectNode newCause = completeHeartbeat();
        ((ObjectNode) newCause.path("parts").get(1)).put("cause", "evicted");
        assertEquals(
                ExitCause.ERROR,
                WorkerHeartbeat.read(Json.bytes(newCause)).tasks().get(1).cause());
        ObjectNode newStage = completeHeartbeat();
        ((ObjectNode) newStage.path("parts").get(1)).put("stage", "paused");
        assertRejected(newStage);
    }
}
