package org.spruceridge.worker;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.util.OptionalDouble;
import org.spruceridge.cluster.MachineKind;
import org.spruceridge.cluster.TaskId;
import org.spruceridge.net.BadMessageException;
import org.spruceridge.net.Json;

/**
 * A worker's heartbeat. It contains the worker's identity and the status of each of its tasks.
 *
 * @param machine the name of the machine
 * @param address the address for direct commands; empty if the worker does not accept them
 * @param incarnation the number of the worker's current lease; it increases whenever the worker starts a new lease
 * @param sequence the sequence number, which increases with every heartbeat and every response to a direct command
 * @param fencingToken the highest fencing token that the worker has seen
 * @param reclaimNoticeS the time until the cloud reclaims the machine, in seconds; empty if the cloud has not announced
 *     that
 */
public record WorkerHeartbeat(
        String machine,
        String address,
        MachineKind kind,
        long incarnation,
        long sequence,
        long fencingToken,
        OptionalDouble reclaimNoticeS,
        ImmutableList<TaskStatus> tasks) {

    /** The state of a task on its machine. */
    public enum TaskState {
        FETCHING("fetching"),
        RUNNING("running"),
        CHECKPOINTING("saving"),
        EXITED("ended");

        private static final TaskState[] ALL = values();

        private final String wireName;

        TaskState(String wireName) {
            this.wireName = wireName;
        }

        static TaskState fromWire(String name) throws BadMessageException {
            for (TaskState state : ALL) {
                if (state.wireName.equals(name)) {
                    return state;
                }
            }
            throw new BadMessageException(
                    "stage must be fetching, running, saving or ended, but is " + BadMessageException.describe(name));
        }
    }

    /** The reason why a task exited. */
    public enum ExitCause {
        /** The task has not exited. */
        NONE(null),
        /** The task completed. */
        DONE("done"),
        /** A command stopped the task. */
        STOPPED("stopped"),
        /** The task failed, or the worker sent a cause that this version does not know. */
        ERROR("error"),
        /** The worker refused the start: the machine lacks capacity. */
        NO_ROOM("no_room"),
        /** The worker refused the start: another attempt of the task is on the machine. */
        BUSY("in_use"),
        /** The worker refused the start: it does not know the task. */
        UNKNOWN("unknown");

        private static final ExitCause[] ALL = values();

        private final String wireName;

        ExitCause(String wireName) {
            this.wireName = wireName;
        }

        static ExitCause fromWire(String name) {
            for (ExitCause cause : ALL) {
                if (name.equals(cause.wireName)) {
                    return cause;
                }
            }
            return ERROR;
        }
    }

    /** The status of one task. */
    public record TaskStatus(TaskId task, long attempt, TaskState state, ExitCause cause) {
        /** True if the task has stopped running. */
        public boolean hasExited() {
            return state == TaskState.EXITED;
        }
    }

    /** Parses a heartbeat from JSON. Throws {@link BadMessageException} if the heartbeat is incomplete or malformed. */
    public static WorkerHeartbeat read(byte[] body) throws BadMessageException {
        try (JsonParser parser = Json.parser(body)) {
            WorkerHeartbeat heartbeat = new WorkerHeartbeatParser(parser).read();
            if (parser.nextToken() != null) {
                throw new BadMessageException("unexpected data after the heartbeat");
            }
            return heartbeat;
        } catch (IOException e) {
            throw new BadMessageException("invalid JSON");
        }
    }

    /** The JSON message of the heartbeat, as a worker sends it. */
    public ObjectNode toJson() {
        ObjectNode json = Json.object()
                .put("host", machine)
                .put("endpoint", address)
                .put("build", kind.type())
                .put("grove", kind.zone())
                .put("windfall", kind.spot())
                .put("watch", incarnation)
                .put("tally", sequence)
                .put("warrant", fencingToken);
        reclaimNoticeS.ifPresent(seconds -> json.put("warningS", seconds));
        ArrayNode taskArray = json.putArray("parts");
        for (TaskStatus status : tasks) {
            writeStatus(taskArray.addObject(), status);
        }
        return json;
    }

    private static void writeStatus(ObjectNode json, TaskStatus status) {
        json.put("part", status.task.toString()).put("try", status.attempt).put("stage", status.state.wireName);
        if (status.hasExited()) {
            json.put("cause", status.cause.wireName);
        }
    }
}
