package org.spruceridge.worker;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import java.util.OptionalDouble;
import org.spruceridge.cluster.Kind;
import org.spruceridge.cluster.TaskId;
import org.spruceridge.net.BadMessageException;
import org.spruceridge.net.Json;

/** A worker's report. */
public record Report(
        String machine,
        String address,
        Kind kind,
        long session,
        long sequence,
        long token,
        OptionalDouble noticeS,
        ImmutableList<TaskReport> tasks) {

    /** Where a task stands on its machine. */
    public enum TaskState {
        FETCHING,
        RUNNING,
        SAVING,
        EXITED
    }

    /** Why a task exited. */
    public enum Cause {
        NONE,
        DONE,
        STOPPED,
        ERROR,
        NO_ROOM,
        BUSY,
        UNKNOWN
    }

    /** One task of a report. */
    public record TaskReport(TaskId task, long attempt, TaskState state, Cause cause) {}

    public static Report read(byte[] body) throws BadMessageException {
        JsonNode node = Json.object(body);
        ImmutableList.Builder<TaskReport> tasks = ImmutableList.builder();
        for (JsonNode item : Json.list(node, "parts")) {
            tasks.add(task(item));
        }
        return new Report(
                Json.text(node, "host"),
                Json.text(node, "endpoint"),
                new Kind(Json.text(node, "build"), Json.text(node, "grove"), Json.flag(node, "windfall")),
                Json.whole(node, "watch"),
                Json.whole(node, "tally"),
                Json.whole(node, "warrant"),
                node.hasNonNull("warningS") ? OptionalDouble.of(Json.number(node, "warningS")) : OptionalDouble.empty(),
                tasks.build());
    }

    private static TaskReport task(JsonNode item) throws BadMessageException {
        TaskState state =
                switch (Json.text(item, "stage")) {
                    case "fetching" -> TaskState.FETCHING;
                    case "running" -> TaskState.RUNNING;
                    case "saving" -> TaskState.SAVING;
                    case "ended" -> TaskState.EXITED;
                    default -> throw new BadMessageException("unknown state of a task");
                };
        Cause cause = state == TaskState.EXITED ? cause(Json.text(item, "cause")) : Cause.NONE;
        return new TaskReport(taskId(Json.text(item, "part")), Json.whole(item, "try"), state, cause);
    }

    private static Cause cause(String text) {
        return switch (text) {
            case "done" -> Cause.DONE;
            case "stopped" -> Cause.STOPPED;
            case "no_room" -> Cause.NO_ROOM;
            case "in_use" -> Cause.BUSY;
            case "unknown" -> Cause.UNKNOWN;
            default -> Cause.ERROR;
        };
    }

    private static TaskId taskId(String text) throws BadMessageException {
        int slash = text.lastIndexOf('/');
        try {
            return new TaskId(text.substring(0, slash), Integer.parseInt(text.substring(slash + 1)));
        } catch (IndexOutOfBoundsException | NumberFormatException e) {
            throw new BadMessageException("not a task: " + text);
        }
    }
}
