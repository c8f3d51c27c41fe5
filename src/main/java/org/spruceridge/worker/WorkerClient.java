package org.spruceridge.worker;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.function.Consumer;
import org.spruceridge.config.Address;
import org.spruceridge.net.BadMessageException;
import org.spruceridge.net.HttpAnswer;
import org.spruceridge.net.HttpCall;
import org.spruceridge.net.HttpClient;
import org.spruceridge.net.Json;
import org.spruceridge.net.RateLimitedWarnings;

/** Sends direct commands to workers, beside the commands in the responses to their heartbeats. */
public final class WorkerClient {
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int CONFLICT = 409;

    private final HttpClient http;
    private final RateLimitedWarnings warnings;

    /** Direct commands are sent through {@code http}; unreadable replies are warned about. */
    public WorkerClient(HttpClient http, RateLimitedWarnings warnings) {
        this.http = http;
        this.warnings = warnings;
    }

    /** Sends commands for one incarnation of a worker, under a fencing token; the result comes on the event loop. */
    public void send(
            Address worker,
            long fencingToken,
            long incarnation,
            List<WorkerCommand> commands,
            long timeoutNanos,
            Consumer<CommandResult> onResult) {
        ObjectNode body = WorkerCommand.body(fencingToken, commands).put("watch", incarnation);
        HttpCall call = HttpCall.post("/do", Json.bytes(body));
        http.call(worker, call, timeoutNanos, answer -> onResult.accept(read(answer)));
    }

    private CommandResult read(HttpAnswer answer) {
        try {
            return switch (answer.status()) {
                case OK -> CommandResult.withStatus(CommandResult.Kind.EXECUTED, WorkerHeartbeat.read(answer.body()));
                case CONFLICT -> CommandResult.withStatus(
                        CommandResult.Kind.REFUSED, WorkerHeartbeat.read(answer.body()));
                case BAD_REQUEST -> CommandResult.withoutStatus(CommandResult.Kind.REFUSED);
                default -> CommandResult.withoutStatus(
                        answer.sent() ? CommandResult.Kind.UNKNOWN : CommandResult.Kind.UNSENT);
            };
        } catch (BadMessageException e) {
            warnings.warn("unreadable command reply", "reason=" + e.getMessage());
            return CommandResult.withoutStatus(CommandResult.Kind.UNKNOWN);
        }
    }
}
