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
 * Reads one heartbeat token by token, without a tree: heartbeats are most of the messages that a leader receives. Fields
 * that it does not know are skipped.
 */
final class WorkerHeartbeatParser {
    private static final long MISSING = -1;

    private final JsonParser json;
    private String machine;
    private String address;
    private String type;
    private String zone;
    private Boolean spot;
    private long incarnation = MISSING;
    private long sequence = MISSING;
    private long fencingToken = MISSING;
    private OptionalDouble reclaimNoticeS = OptionalDouble.empty();
    private ImmutableList<TaskStatus> tasks;

    WorkerHeartbeatParser(JsonParser json) {
        this.json = json;
    }

    WorkerHeartbeat read() throws IOException, BadMessageException {
        require(json.nextToken() == JsonToken.START_OBJECT, "not an object");
        for (String field = json.nextFieldName(); field != null; field = json.nextFieldName()) {
            json.nextToken();
            readField(field);
        }
        require(json.currentToken() == JsonToken.END_OBJECT, "not an object");
        require(isComplete(), "a field is missing");
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

    private void readField(String field) throws IOException, BadMessageException {
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
            default -> json.skipChildren();
        }
    }

    private boolean isComplete() {
        boolean hasMachine = machine != null && address != null && type != null && zone != null && spot != null;
        return hasMachine && incarnation >= 0 && sequence >= 0 && fencingToken >= 0 && tasks != null;
    }

    private ImmutableList<TaskStatus> tasks() throws IOException, BadMessageException {
        require(json.currentToken() == JsonToken.START_ARRAY, "parts is not a list");
        ImmutableList.Builder<TaskStatus> statuses = ImmutableList.builder();
        while (json.nextToken() != JsonToken.END_ARRAY) {
            statuses.add(taskStatus());
        }
        return statuses.build();
    }

    private TaskStatus taskStatus() throws IOException, BadMessageException {
        require(json.currentToken() == JsonToken.START_OBJECT, "a task is not an object");
        TaskId task = null;
        long attempt = MISSING;
        TaskState state = null;
        ExitCause cause = null;
        for (String field = json.nextFieldName(); field != null; field = json.nextFieldName()) {
            json.nextToken();
            switch (field) {
                case "part" -> task = taskId(text(field));
                case "try" -> attempt = count(field);
                case "stage" -> state = TaskState.fromWire(text(field));
                case "cause" -> cause = isNull() ? null : ExitCause.fromWire(text(field));
                default -> json.skipChildren();
            }
        }
        require(task != null && attempt >= 0 && state != null, "a field of a task is missing");
        require(state != TaskState.EXITED || cause != null, "an exited task has no cause");
        return new TaskStatus(task, attempt, state, state == TaskState.EXITED ? cause : ExitCause.NONE);
    }

    private static TaskId taskId(String text) throws BadMessageException {
        int slash = text.lastIndexOf('/');
        try {
            return new TaskId(text.substring(0, slash), Integer.parseInt(text.substring(slash + 1)));
        } catch (IndexOutOfBoundsException | NumberFormatException e) {
            throw new BadMessageException("not a task: " + text);
        }
    }

    private boolean isNull() {
        return json.currentToken() == JsonToken.VALUE_NULL;
    }

    private String text(String field) throws IOException, BadMessageException {
        require(json.currentToken() == JsonToken.VALUE_STRING, field + " is not a text");
        return json.getText();
    }

    private long count(String field) throws IOException, BadMessageException {
        boolean isCount = json.currentToken() == JsonToken.VALUE_NUMBER_INT
                && json.getNumberType() != JsonParser.NumberType.BIG_INTEGER
                && json.getLongValue() >= 0;
        require(isCount, field + " is not a count");
        return json.getLongValue();
    }

    private boolean bool(String field) throws IOException, BadMessageException {
        require(json.currentToken().isBoolean(), field + " is not true or false");
        return json.getBooleanValue();
    }

    private OptionalDouble optionalNumber(String field) throws IOException, BadMessageException {
        if (isNull()) {
            return OptionalDouble.empty();
        }
        boolean isNumber = json.currentToken().isNumeric() && Double.isFinite(json.getDoubleValue());
        require(isNumber, field + " is not a number");
        return OptionalDouble.of(json.getDoubleValue());
    }

    private static void require(boolean condition, String complaint) throws BadMessageException {
        if (!condition) {
            throw new BadMessageException(complaint);
        }
    }
}
