package org.spruceridge.leader;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spruceridge.net.Response;
import org.spruceridge.reconciliation.HeartbeatHandler;
import org.spruceridge.reconciliation.HeartbeatReply;
import org.spruceridge.term.HeartbeatOutcome;
import org.spruceridge.term.LeaderContext;
import org.spruceridge.term.LeaderMetrics;
import org.spruceridge.worker.WorkerCommand;
import org.spruceridge.worker.WorkerHeartbeat;

/** Builds the response to each worker heartbeat, and counts and logs its outcome. */
final class HeartbeatResponder {
    private static final Logger LOG = LoggerFactory.getLogger(HeartbeatResponder.class);
    private static final int MAX_CACHED_RESPONSES = 1_000;

    private final long term;
    private final LeaderMetrics metrics;
    private final HeartbeatHandler heartbeatHandler;
    /** The encoded response without commands for each fencing token. Most heartbeats get such a response. */
    private final Map<Long, Response> responsesWithoutCommands = new HashMap<>();

    private boolean duringFailover = true;

    HeartbeatResponder(LeaderContext context, HeartbeatHandler heartbeatHandler) {
        this.term = context.term().term();
        this.metrics = context.metrics();
        this.heartbeatHandler = heartbeatHandler;
    }

    /** Called when the cluster state is complete. Later heartbeats are reconciled with it. */
    void failoverCompleted() {
        duringFailover = false;
        heartbeatHandler.failoverCompleted();
    }

    /**
     * Handles a heartbeat. During the failover, the response only renews the lease of the worker and stops tasks of
     * jobs that are not open. Returns empty if the worker must not be answered because its lease must expire.
     */
    Optional<Response> respond(WorkerHeartbeat heartbeat) {
        if (duringFailover) {
            return Optional.of(respond(heartbeat, heartbeatHandler.handleDuringFailover(heartbeat)));
        }
        if (heartbeatHandler.withholdsResponse(heartbeat)) {
            metrics.count(HeartbeatOutcome.RESPONSE_WITHHELD);
            LOG.debug("heartbeat not answered term={} machine={} reason=lease-must-expire", term, heartbeat.machine());
            return Optional.empty();
        }
        return Optional.of(respond(heartbeat, heartbeatHandler.handle(heartbeat)));
    }

    private Response respond(WorkerHeartbeat heartbeat, HeartbeatReply reply) {
        List<WorkerCommand> commands = reply.commands();
        long stopCount = countStops(commands);
        HeartbeatOutcome outcome = outcome(stopCount);
        metrics.count(outcome);
        if (LOG.isDebugEnabled()) {
            LOG.debug(
                    "heartbeat answered term={} machine={} fencingToken={} tasks={} outcome={} stops={}",
                    term,
                    heartbeat.machine(),
                    heartbeat.fencingToken(),
                    heartbeat.tasks().size(),
                    outcome,
                    stopCount);
        }
        return commands.isEmpty()
                ? responseWithoutCommands(reply.fencingToken())
                : WorkerCommand.heartbeatResponse(reply.fencingToken(), commands);
    }

    private Response responseWithoutCommands(long fencingToken) {
        if (responsesWithoutCommands.size() >= MAX_CACHED_RESPONSES) {
            responsesWithoutCommands.clear();
        }
        return responsesWithoutCommands.computeIfAbsent(
                fencingToken, token -> WorkerCommand.heartbeatResponse(token, List.of()));
    }

    private HeartbeatOutcome outcome(long stopCount) {
        if (duringFailover) {
            return HeartbeatOutcome.ANSWERED_DURING_FAILOVER;
        }
        return stopCount > 0 ? HeartbeatOutcome.ANSWERED_WITH_STOPS : HeartbeatOutcome.ANSWERED;
    }

    private static long countStops(List<WorkerCommand> commands) {
        if (commands.isEmpty()) {
            return 0;
        }
        return commands.stream()
                .filter(command -> command.verb() == WorkerCommand.Verb.STOP)
                .count();
    }
}
