package org.spruceridge.worker;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.util.OptionalDouble;
import org.spruceridge.cluster.MachineKind;
import org.spruceridge.cluster.TaskId;
import org.spruceridge.net.BadMessageException;
import org.spruceridge.net.Json;

/** A worker's report. */
public record WorkerHeartbeat(
        String machine,
        String address,
        MachineKind kind,
        long incarnation,
        long sequence,
        long fencingToken,
        OptionalDouble reclaimNoticeS,
        ImmutableList<TaskStatus> tasks) {

    /** Where a task stands on its machine. */
    public enum TaskState {
        FETCHING("fetching"),
        RUNNING("running"),
        CHECKPOINTING("saving"),
        EXITED("ended");

        private final String wire;

        TaskState(String wire) {
            this.wire = wire;
        }
    }

    /** Why a task exited. */
    public enum ExitCause {
        NONE(null),
        DONE("done"),
        STOPPED("stopped"),
        ERROR("error"),
        NO_ROOM("no_room"),
        BUSY("in_use"),
        UNKNOWN("unknown");

        private final String wire;

        ExitCause(String wire) {
            this.wire = wire;
        }
    }

    /** One task of a report. */
    public record TaskStatus(TaskId task, long attempt, TaskState state, ExitCause cause) {}

    /** Reads it token by token: reports are by far the most of what a leader is sent. */
    public static WorkerHeartbeat read(byte[] body) throws BadMessageException {
        try (JsonParser in = Json.parser(body)) {
            WorkerHeartbeat heartbeat = new Parser(in).read();
            if (in.nextToken() != null) {
                throw new BadMessageException("something follows the report");
            }
            return heartbeat;
        } catch (IOException e) {
            throw new BadMessageException("not JSON");
        }
    }

    /** The report as a worker sends it. */
    public ObjectNode toJson() {
        ObjectNode out = Json.object()
                .put("host", machine)
                .put("endpoint", address)
                .put("build", kind.type())
                .put("grove", kind.zone())
                .put("windfall", kind.spot())
                .put("watch", incarnation)
                .put("tally", sequence)
                .put("warrant", fencingToken);
        reclaimNoticeS.ifPresent(seconds -> out.put("warningS", seconds));
        ArrayNode parts = out.putArray("parts");
        for (TaskStatus task : tasks) {
            ObjectNode part = parts.addObject()
                    .put("part", task.task.toString())
                    .put("try", task.attempt)
                    .put("stage", task.state.wire);
            if (task.state == TaskState.EXITED) {
                part.put("cause", task.cause.wire);
            }
        }
        return out;
    }

    /** A report of which some fields have been read. */
    private static final class Parser {
        private final JsonParser in;
        private String machine;
        private String address;
        private String type;
        private String zone;
        private Boolean spot;
        private long incarnation = -1;
        private long sequence = -1;
        private long fencingToken = -1;
        private OptionalDouble reclaimNoticeS = OptionalDouble.empty();
        private ImmutableList<TaskStatus> tasks;

        Parser(JsonParser in) {
            this.in = in;
        }

        WorkerHeartbeat read() throws IOException, BadMessageException {
            require(in.nextToken() == JsonToken.START_OBJECT, "not an object");
            for (String field = in.nextFieldName(); field != null; field = in.nextFieldName()) {
                in.nextToken();
                switch (field) {
                    case "host" -> machine = text(field);
                    case "endpoint" -> address = text(field);
                    case "build" -> type = text(field);
                    case "grove" -> zone = text(field);
                    case "windfall" -> spot = bool(field);
                    case "watch" -> incarnation = count(field);
                    case "tally" -> sequence = count(field);
                    case "warrant" -> fencingToken = count(field);
                    case "warningS" -> reclaimNoticeS = optionalNumber(field);
                    case "parts" -> tasks = tasks();
                    default -> in.skipChildren();
                }
            }
            require(in.currentToken() == JsonToken.END_OBJECT, "not an object");
            boolean complete = machine != null && address != null && type != null && zone != null && spot != null;
            require(
                    complete && incarnation >= 0 && sequence >= 0 && fencingToken >= 0 && tasks != null,
                    "a field is missing");
            return new WorkerHeartbeat(
                    machine,
                    address,
                    new MachineKind(type, zone, spot),
                    incarnation,
                    sequence,
                    fencingToken,
                    reclaimNoticeS,
                    tasks);
        }

        private ImmutableList<TaskStatus> tasks() throws IOException, BadMessageException {
            require(in.currentToken() == JsonToken.START_ARRAY, "parts is not a list");
            ImmutableList.Builder<TaskStatus> out = ImmutableList.builder();
            while (in.nextToken() != JsonToken.END_ARRAY) {
                out.add(task());
            }
            return out.build();
        }

        private TaskStatus task() throws IOException, BadMessageException {
            require(in.currentToken() == JsonToken.START_OBJECT, "a task is not an object");
            TaskId task = null;
            long attempt = -1;
            TaskState state = null;
            ExitCause cause = null;
            for (String field = in.nextFieldName(); field != null; field = in.nextFieldName()) {
                in.nextToken();
                switch (field) {
                    case "part" -> task = taskId(text(field));
                    case "try" -> attempt = count(field);
                    case "stage" -> state = state(text(field));
                    case "cause" -> cause = in.currentToken() == JsonToken.VALUE_NULL ? null : cause(text(field));
                    default -> in.skipChildren();
                }
            }
            require(task != null && attempt >= 0 && state != null, "a field of a task is missing");
            require(state != TaskState.EXITED || cause != null, "an exited task has no cause");
            return new TaskStatus(task, attempt, state, state == TaskState.EXITED ? cause : ExitCause.NONE);
        }

        private String text(String field) throws IOException, BadMessageException {
            require(in.currentToken() == JsonToken.VALUE_STRING, field + " is not a text");
            return in.getText();
        }

        private long count(String field) throws IOException, BadMessageException {
            boolean isCount = in.currentToken() == JsonToken.VALUE_NUMBER_INT
                    && in.getNumberType() != JsonParser.NumberType.BIG_INTEGER
                    && in.getLongValue() >= 0;
            require(isCount, field + " is not a count");
            return in.getLongValue();
        }

        private boolean bool(String field) throws IOException, BadMessageException {
            require(in.currentToken().isBoolean(), field + " is not true or false");
            return in.getBooleanValue();
        }

        private OptionalDouble optionalNumber(String field) throws IOException, BadMessageException {
            if (in.currentToken() == JsonToken.VALUE_NULL) {
                return OptionalDouble.empty();
            }
            require(in.currentToken().isNumeric() && Double.isFinite(in.getDoubleValue()), field + " is not a number");
            return OptionalDouble.of(in.getDoubleValue());
        }

        private static void require(boolean holds, String complaint) throws BadMessageException {
            if (!holds) {
                throw new BadMessageException(complaint);
            }
        }
    }

    private static TaskState state(String text) throws BadMessageException {
        for (TaskState state : TaskState.values()) {
            if (state.wire.equals(text)) {
                return state;
            }
        }
        throw new BadMessageException("unknown state of a task");
    }

    private static ExitCause cause(String text) {
        for (ExitCause cause : ExitCause.values()) {
            if (text.equals(cause.wire)) {
                return cause;
            }
        }
        return ExitCause.ERROR;
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
