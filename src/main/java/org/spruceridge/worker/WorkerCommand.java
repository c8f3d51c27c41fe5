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
 * @param graceS the time that a stop allows for a checkpoint, in seconds; 0 stops the task immediately. Unused by other
 *     commands.
 */
public record WorkerCommand(Verb verb, TaskId task, long attempt, double graceS) {
    /** The action to perform. */
    public enum Verb {
        START("start"),
        STOP("halt"),
        FORGET("forget");

        private final String wireName;

        Verb(String wireName) {
            this.wireName = wireName;
        }
    }

    /** Starts a task. */
    public static WorkerCommand start(TaskId task, long attempt) {
        return new WorkerCommand(Verb.START, task, attempt, 0);
    }

    /** Stops a task after a checkpoint, which can take up to {@code graceS} seconds. */
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
    public static Response heartbeatResponse(long fencingToken, List<WorkerCommand> commands) {
        return Response.of(200, toJson(fencingToken, commands));
    }

    /** The response that redirects a worker to the leader. {@code leader} is the leader's host name. */
    public static Response redirectToLeader(String leader) {
        return Response.of(421, Json.object().put("steward", leader));
    }

    /** The JSON message to a worker with the fencing token and the commands. */
    static ObjectNode toJson(long fencingToken, List<WorkerCommand> commands) {
        ObjectNode json = Json.object().put("warrant", fencingToken);
        ArrayNode commandArray = json.putArray("orders");
        for (WorkerCommand command : commands) {
            command.writeTo(commandArray.addObject());
        }
        return json;
    }

    private void writeTo(ObjectNode json) {
        json.put("verb", verb.wireName).put("part", task.toString()).put("try", attempt);
        if (verb == Verb.STOP) {
            json.put("leewayS", graceS);
        }
    }
}
