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

/** Sends commands directly to workers, in addition to the commands in heartbeat responses. */
public final class WorkerClient {
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int CONFLICT = 409;

    private final HttpClient http;
    private final RateLimitedWarnings warnings;

    /** Sends commands through {@code http}, and logs unreadable responses to {@code warnings}. */
    public WorkerClient(HttpClient http, RateLimitedWarnings warnings) {
        this.http = http;
        this.warnings = warnings;
    }

    /**
     * Sends commands and the leader's fencing token to a worker, which rejects them unless {@code incarnation} is its
     * current one. {@code onResult} is called on the event loop, at the latest after {@code timeoutNanos} nanoseconds.
     */
    public void send(
            Address worker,
            long fencingToken,
            long incarnation,
            List<WorkerCommand> commands,
            long timeoutNanos,
            Consumer<CommandResult> onResult) {
        ObjectNode body = WorkerCommand.toJson(fencingToken, commands).put("watch", incarnation);
        HttpCall call = HttpCall.post("/do", Json.bytes(body));
        http.call(worker, call, timeoutNanos, response -> onResult.accept(toResult(response)));
    }

    private CommandResult toResult(HttpAnswer response) {
        try {
            return switch (response.status()) {
                case OK -> CommandResult.withStatus(CommandResult.Kind.EXECUTED, WorkerHeartbeat.read(response.body()));
                case CONFLICT -> CommandResult.withStatus(
                        CommandResult.Kind.REFUSED, WorkerHeartbeat.read(response.body()));
                case BAD_REQUEST -> CommandResult.withoutStatus(CommandResult.Kind.REFUSED);
                default -> CommandResult.withoutStatus(
                        response.sent() ? CommandResult.Kind.UNKNOWN : CommandResult.Kind.UNSENT);
            };
        } catch (BadMessageException e) {
            warnings.warn("unreadable command reply", "reason=" + e.getMessage());
            return CommandResult.withoutStatus(CommandResult.Kind.UNKNOWN);
        }
    }
}
