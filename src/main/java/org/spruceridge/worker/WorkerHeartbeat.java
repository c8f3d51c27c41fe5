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
 * A worker's heartbeat: its identity, and the status of its tasks.
 *
 * @param machine the name of the machine
 * @param address where the worker takes direct commands; empty if it takes none
 * @param incarnation the number of the worker's lease, which grows with each lease that begins anew
 * @param sequence grows with every heartbeat and every reply to a direct command
 * @param fencingToken the highest fencing token that the worker has seen
 * @param reclaimNoticeS in how many seconds the cloud reclaims the machine; empty if it gave no notice
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

        private final String wire;

        TaskState(String wire) {
            this.wire = wire;
        }

        static TaskState fromWire(String name) throws BadMessageException {
            for (TaskState state : ALL) {
                if (state.wire.equals(name)) {
                    return state;
                }
            }
            throw new BadMessageException("unknown state of a task");
        }
    }

    /** Why a task exited. */
    public enum ExitCause {
        /** It has not exited. */
        NONE(null),
        /** It completed. */
        DONE("done"),
        /** It was stopped by a command. */
        STOPPED("stopped"),
        /** It failed, or the cause is one that this version does not know. */
        ERROR("error"),
        /** The worker refused the start: the machine lacks capacity. */
        NO_ROOM("no_room"),
        /** The worker refused the start: another attempt of the task is on the machine. */
        BUSY("in_use"),
        /** The worker refused the start: it does not know the task. */
        UNKNOWN("unknown");

        private static final ExitCause[] ALL = values();

        private final String wire;

        ExitCause(String wire) {
            this.wire = wire;
        }

        static ExitCause fromWire(String name) {
            for (ExitCause cause : ALL) {
                if (name.equals(cause.wire)) {
                    return cause;
                }
            }
            return ERROR;
        }
    }

    /** The status of one task. */
    public record TaskStatus(TaskId task, long attempt, TaskState state, ExitCause cause) {
        /** True once the task does not run any more. */
        public boolean hasExited() {
            return state == TaskState.EXITED;
        }
    }

    /** Reads a heartbeat from its JSON bytes. */
    public static WorkerHeartbeat read(byte[] body) throws BadMessageException {
        try (JsonParser json = Json.parser(body)) {
            WorkerHeartbeat heartbeat = new WorkerHeartbeatParser(json).read();
            if (json.nextToken() != null) {
                throw new BadMessageException("something follows the report");
            }
            return heartbeat;
        } catch (IOException e) {
            throw new BadMessageException("not JSON");
        }
    }

    /** The heartbeat as a worker sends it. */
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
        for (TaskStatus status : tasks) {
            writeStatus(parts.addObject(), status);
        }
        return out;
    }

    private static void writeStatus(ObjectNode part, TaskStatus status) {
        part.put("part", status.task.toString()).put("try", status.attempt).put("stage", status.state.wire);
        if (status.hasExited()) {
            part.put("cause", status.cause.wire);
        }
    }
}
