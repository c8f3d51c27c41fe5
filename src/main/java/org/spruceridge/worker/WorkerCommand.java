package org.spruceridge.worker;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.spruceridge.cluster.TaskId;
import org.spruceridge.net.Json;
import org.spruceridge.net.Response;

/**
 * A command to a worker, for one attempt of a task.
 *
 * @param graceS for a stop, the seconds that the task has for a checkpoint; 0 stops it immediately
 */
public record WorkerCommand(Verb verb, TaskId task, long attempt, double graceS) {
    /** What the worker is to do. */
    public enum Verb {
        START("start"),
        STOP("halt"),
        FORGET("forget");

        private final String wire;

        Verb(String wire) {
            this.wire = wire;
        }
    }

    /** Starts a task. */
    public static WorkerCommand start(TaskId task, long attempt) {
        return new WorkerCommand(Verb.START, task, attempt, 0);
    }

    /** Stops a task after a checkpoint, for which it has {@code graceS} seconds. */
    public static WorkerCommand stop(TaskId task, long attempt, double graceS) {
        return new WorkerCommand(Verb.STOP, task, attempt, graceS);
    }

    /** Stops a task without a checkpoint. */
    public static WorkerCommand stopImmediately(TaskId task, long attempt) {
        return stop(task, attempt, 0);
    }

    /** Removes an exited task from the worker's heartbeats. */
    public static WorkerCommand forget(TaskId task, long attempt) {
        return new WorkerCommand(Verb.FORGET, task, attempt, 0);
    }

    /** The response to a heartbeat: the fencing token and the commands. */
    public static Response answer(long fencingToken, List<WorkerCommand> commands) {
        return Response.of(200, body(fencingToken, commands));
    }

    /** The response that sends a worker to the leader. */
    public static Response redirectToLeader(String leader) {
        return Response.of(421, Json.object().put("steward", leader));
    }

    /** The fencing token and the commands, as they go to a worker. */
    static ObjectNode body(long fencingToken, List<WorkerCommand> commands) {
        ObjectNode body = Json.object().put("warrant", fencingToken);
        ArrayNode commandArray = body.putArray("orders");
        for (WorkerCommand command : commands) {
            command.writeTo(commandArray.addObject());
        }
        return body;
    }

    private void writeTo(ObjectNode order) {
        order.put("verb", verb.wire).put("part", task.toString()).put("try", attempt);
        if (verb == Verb.STOP) {
            order.put("leewayS", graceS);
        }
    }
}
