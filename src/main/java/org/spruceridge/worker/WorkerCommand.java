package org.spruceridge.worker;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.spruceridge.cluster.TaskId;
import org.spruceridge.net.Json;
import org.spruceridge.net.Response;

/** A command to a worker. */
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

    /** Stops a task; with {@code graceS} of 0 at once, else after it has saved if it can. */
    public static WorkerCommand stop(TaskId task, long attempt, double graceS) {
        return new WorkerCommand(Verb.STOP, task, attempt, graceS);
    }

    /** Removes an exited task from the reports. */
    public static WorkerCommand forget(TaskId task, long attempt) {
        return new WorkerCommand(Verb.FORGET, task, attempt, 0);
    }

    /** The answer to a report: the token and the commands. */
    public static Response answer(long fencingToken, List<WorkerCommand> commands) {
        return Response.of(200, body(fencingToken, commands));
    }

    /** The token and the commands, as they go to a worker. */
    static ObjectNode body(long fencingToken, List<WorkerCommand> commands) {
        ObjectNode body = Json.object().put("warrant", fencingToken);
        ArrayNode list = body.putArray("orders");
        for (WorkerCommand command : commands) {
            ObjectNode node = list.addObject()
                    .put("verb", command.verb.wire)
                    .put("part", command.task.toString())
                    .put("try", command.attempt);
            if (command.verb == Verb.STOP) {
                node.put("leewayS", command.graceS);
            }
        }
        return body;
    }

    /** Sends a worker to another node; with no name it tries the next one. */
    public static Response redirectToLeader(String leader) {
        ObjectNode body = Json.object();
        if (leader != null) {
            body.put("steward", leader);
        }
        return Response.of(421, body);
    }
}
