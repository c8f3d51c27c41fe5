package org.spruceridge.worker;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.spruceridge.config.Address;
import org.spruceridge.net.BadMessageException;
import org.spruceridge.net.HttpAnswer;
import org.spruceridge.net.HttpCall;
import org.spruceridge.net.HttpClient;
import org.spruceridge.net.Json;
import org.spruceridge.net.RateLimitedWarnings;

/** Sends orders straight to workers, beside the answers to their reports. */
public final class WorkerClient {
    private final HttpClient http;
    private final RateLimitedWarnings warnings;

    /** Direct commands are sent through {@code http}. */
    public WorkerClient(HttpClient http, RateLimitedWarnings warnings) {
        this.http = http;
        this.warnings = warnings;
    }

    /** Sends orders for one session of a worker, under a token. */
    public void send(
            Address worker,
            long fencingToken,
            long incarnation,
            List<WorkerCommand> commands,
            long timeoutNanos,
            Consumer<CommandResult> onResult) {
        ObjectNode body = WorkerCommand.body(fencingToken, commands).put("watch", incarnation);
        http.call(
                worker, HttpCall.post("/do", Json.bytes(body)), timeoutNanos, answer -> onResult.accept(read(answer)));
    }

    private CommandResult read(HttpAnswer answer) {
        try {
            switch (answer.status()) {
                case 200:
                    return new CommandResult(
                            CommandResult.Kind.EXECUTED, Optional.of(WorkerHeartbeat.read(answer.body())));
                case 409:
                    return new CommandResult(
                            CommandResult.Kind.REFUSED, Optional.of(WorkerHeartbeat.read(answer.body())));
                case 400:
                    return new CommandResult(CommandResult.Kind.REFUSED, Optional.empty());
                default:
                    CommandResult.Kind kind = answer.sent() ? CommandResult.Kind.UNKNOWN : CommandResult.Kind.UNSENT;
                    return new CommandResult(kind, Optional.empty());
            }
        } catch (BadMessageException e) {
            warnings.warn("unreadable answer of a worker", e.getMessage());
            return new CommandResult(CommandResult.Kind.UNKNOWN, Optional.empty());
        }
    }
}
