package org.spruceridge.worker;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.util.OptionalDouble;
import org.spruceridge.cluster.MachineKind;
import org.spruceridge.cluster.TaskId;
import org.spruceridge.net.BadMessageException;
import org.spruceridge.worker.WorkerHeartbeat.ExitCause;
import org.spruceridge.worker.WorkerHeartbeat.TaskState;
import org.spruceridge.worker.WorkerHeartbeat.TaskStatus;

/**
 * Parses a heartbeat token by token. It builds no JSON tree, because most messages to a leader are heartbeats.
 * Unknown fields are ignored.
 */
final class WorkerHeartbeatParser {
    private static final long MISSING = -1;

    private final JsonParser parser;
    private String machine;
    private String address;
    private String type;
    private String zone;
    private Boolean spot;
    private long incarnation = MISSING;
    private long sequence = MISSING;
    private long fencingToken = MISSING;
    private OptionalDouble reclaimNoticeS = OptionalDouble.empty();
    private ImmutableList<TaskStatus> taskStatuses;

    WorkerHeartbeatParser(JsonParser parser) {
        this.parser = parser;
    }

    WorkerHeartbeat read() throws IOException, BadMessageException {
        require(parser.nextToken() == JsonToken.START_OBJECT, "not a JSON object");
        for (String field = parser.nextFieldName(); field != null; field = parser.nextFieldName()) {
            parser.nextToken();
            readField(field);
        }
        require(parser.currentToken() == JsonToken.END_OBJECT, "not a JSON object");
        require(isComplete(), "host, endpoint, build, grove, windfall, watch, tally, warrant or parts is missing");
        return new WorkerHeartbeat(
                machine,
                address,
                new MachineKind(type, zone, spot),
                incarnation,
                sequence,
                fencingToken,
                reclaimNoticeS,
                taskStatuses);
    }

    private void readField(String field) throws IOException, BadMessageException {
        switch (field) {
            case "host" -> machine = readText(field);
            case "endpoint" -> address = readText(field);
            case "build" -> type = readText(field);
            case "grove" -> zone = readText(field);
            case "windfall" -> spot = readBoolean(field);
            case "watch" -> incarnation = readNonNegativeLong(field);
            case "tally" -> sequence = readNonNegativeLong(field);
            case "warrant" -> fencingToken = readNonNegativeLong(field);
            case "warningS" -> reclaimNoticeS = readOptionalNumber(field);
            case "parts" -> taskStatuses = taskStatuses();
            default -> parser.skipChildren();
        }
    }

    private boolean isComplete() {
        boolean hasMachine = machine != null && address != null && type != null && zone != null && spot != null;
        return hasMachine && incarnation >= 0 && sequence >= 0 && fencingToken >= 0 && taskStatuses != null;
    }

    private ImmutableList<TaskStatus> taskStatuses() throws IOException, BadMessageException {
        require(parser.currentToken() == JsonToken.START_ARRAY, "parts is not an array");
        ImmutableList.Builder<TaskStatus> statuses = ImmutableList.builder();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            statuses.add(readTaskStatus());
        }
        return statuses.build();
    }

    private TaskStatus readTaskStatus() throws IOException, BadMessageException {
        require(parser.currentToken() == JsonToken.START_OBJECT, "an entry of parts is not an object");
        TaskId task = null;
        long attempt = MISSING;
        TaskState state = null;
        ExitCause cause = null;
        for (String field = parser.nextFieldName(); field != null; field = parser.nextFieldName()) {
            parser.nextToken();
            switch (field) {
                case "part" -> task = parseTaskId(readText(field));
                case "try" -> attempt = readNonNegativeLong(field);
                case "stage" -> state = TaskState.fromWire(readText(field));
                case "cause" -> cause = isNull() ? null : ExitCause.fromWire(readText(field));
                default -> parser.skipChildren();
            }
        }
        require(task != null && attempt >= 0 && state != null, "part, try or stage of a task is missing");
        require(state != TaskState.EXITED || cause != null, "a task with stage ended has no cause");
        return new TaskStatus(task, attempt, state, state == TaskState.EXITED ? cause : ExitCause.NONE);
    }

    private static TaskId parseTaskId(String text) throws BadMessageException {
        int slash = text.lastIndexOf('/');
        try {
            return new TaskId(text.substring(0, slash), Integer.parseInt(text.substring(slash + 1)));
        } catch (IndexOutOfBoundsException | NumberFormatException e) {
            throw new BadMessageException(
                    "part must be a job id, a slash and a task index, but is " + BadMessageException.describe(text));
        }
    }

    private boolean isNull() {
        return parser.currentToken() == JsonToken.VALUE_NULL;
    }

    private String readText(String field) throws IOException, BadMessageException {
        require(parser.currentToken() == JsonToken.VALUE_STRING, field + " is not a string");
        return parser.getText();
    }

    private long readNonNegativeLong(String field) throws IOException, BadMessageException {
        boolean isNonNegativeLong = parser.currentToken() == JsonToken.VALUE_NUMBER_INT
                && parser.getNumberType() != JsonParser.NumberType.BIG_INTEGER
                && parser.getLongValue() >= 0;
        require(isNonNegativeLong, field + " is not a non-negative integer");
        return parser.getLongValue();
    }

    private boolean readBoolean(String field) throws IOException, BadMessageException {
        require(parser.currentToken().isBoolean(), field + " is not true or false");
        return parser.getBooleanValue();
    }

    private OptionalDouble readOptionalNumber(String field) throws IOException, BadMessageException {
        if (isNull()) {
            return OptionalDouble.empty();
        }
        boolean isNumber = parser.currentToken().isNumeric() && Double.isFinite(parser.getDoubleValue());
        require(isNumber, field + " is not a number");
        return OptionalDouble.of(parser.getDoubleValue());
    }

    private static void require(boolean condition, String message) throws BadMessageException {
        if (!condition) {
            throw new BadMessageException(message);
        }
    }
}
