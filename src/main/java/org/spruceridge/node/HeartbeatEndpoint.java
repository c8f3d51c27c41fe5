package org.spruceridge.node;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.spruceridge.election.Election;
import org.spruceridge.leader.Leader;
import org.spruceridge.net.BadMessageException;
import org.spruceridge.net.RateLimitedWarnings;
import org.spruceridge.net.Response;
import org.spruceridge.term.HeartbeatOutcome;
import org.spruceridge.term.LeaderMetrics;
import org.spruceridge.worker.WorkerCommand;
import org.spruceridge.worker.WorkerHeartbeat;

/**
 * Answers worker heartbeats: the leader responds with a list of commands, which may be empty; any other node redirects
 * the worker to the leader or rejects the heartbeat. Only a response of the first kind renews the worker's lease.
 */
final class HeartbeatEndpoint {
    private final Election election;
    private final CurrentLeader currentLeader;
    private final LeaderLocator locator;
    private final WorkerReachability reachability;
    private final LeaderMetrics metrics;
    private final RateLimitedWarnings warnings;
    /** The encoded redirect to each node, cached because followers have little CPU time to spare. */
    private final Map<String, Response> redirects = new HashMap<>();

    private final Response noLeaderResponse = Response.error(503, "no leader known");

    HeartbeatEndpoint(
            Election election,
            CurrentLeader currentLeader,
            LeaderLocator locator,
            WorkerReachability reachability,
            LeaderMetrics metrics,
            RateLimitedWarnings warnings) {
        this.election = election;
        this.currentLeader = currentLeader;
        this.locator = locator;
        this.reachability = reachability;
        this.metrics = metrics;
        this.warnings = warnings;
    }

    /**
     * Answers one heartbeat. A node that is not the leader does not parse it: after a leader failure all workers keep
     * retrying on the other nodes, which need their CPU time for the failover.
     */
    Response handle(byte[] body) {
        reachability.heartbeatReceived();
        Optional<Leader> leader = currentLeader.get();
        if (!election.isLeader() || leader.isEmpty()) {
            return redirectOrRefuse(HeartbeatOutcome.NO_LEADER);
        }
        if (!leader.get().mayAnswerWorkers()) {
            return redirectOrRefuse(HeartbeatOutcome.STALE_VIEW);
        }
        try {
            return respond(leader.get(), WorkerHeartbeat.read(body));
        } catch (BadMessageException e) {
            metrics.count(HeartbeatOutcome.UNREADABLE);
            warnings.warn("unreadable worker heartbeat", "reason=" + e.getMessage());
            return Response.error(400, e.getMessage());
        }
    }

    /**
     * Records that a heartbeat was dropped under load. No worker may be declared dead because of an unread heartbeat.
     */
    void dropped() {
        reachability.heartbeatReceived();
        currentLeader.get().ifPresent(Leader::heartbeatsDropped);
    }

    private Response respond(Leader leader, WorkerHeartbeat heartbeat) {
        if (heartbeat.fencingToken() > leader.term()) {
            metrics.count(HeartbeatOutcome.NEWER_TERM);
            return Response.error(503, "a newer leader was seen");
        }
        return leader.heartbeat(heartbeat).orElseGet(() -> Response.error(503, "given up"));
    }

    /**
     * Redirects the worker if another node is known to be the leader; otherwise rejects the heartbeat. Counts the
     * outcome: REDIRECTED, or {@code reason}.
     */
    private Response redirectOrRefuse(HeartbeatOutcome reason) {
        Optional<Response> redirect =
                locator.otherLeader().map(name -> redirects.computeIfAbsent(name, WorkerCommand::redirectToLeader));
        metrics.count(redirect.isPresent() ? HeartbeatOutcome.REDIRECTED : reason);
        return redirect.orElse(noLeaderResponse);
    }
}
