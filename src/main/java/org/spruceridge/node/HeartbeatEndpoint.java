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
 * Answers worker heartbeats. The leader responds with a list of commands, which can be empty. Any other node redirects
 * the worker to the leader or rejects the heartbeat. Only a response with a command list renews the worker's lease.
 */
final class HeartbeatEndpoint {
    private final Election election;
    private final CurrentLeader currentLeader;
    private final LeaderLocator leaderLocator;
    private final WorkerReachability reachability;
    private final LeaderMetrics metrics;
    private final RateLimitedWarnings warnings;
    /** The encoded redirect response for each leader name, cached because followers have little CPU time to spare. */
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
        this.leaderLocator = locator;
        this.reachability = reachability;
        this.metrics = metrics;
        this.warnings = warnings;
    }

    /**
     * Answers one heartbeat. A node that is not the leader does not parse the heartbeat. After a leader failure, all
     * workers keep retrying on the other nodes, which need their CPU time for the failover.
     */
    Response handle(byte[] body) {
        reachability.recordHeartbeat();
        Optional<Leader> leader = currentLeader.get();
        if (!election.isLeader() || leader.isEmpty()) {
            return redirectOrReject(HeartbeatOutcome.NO_LEADER);
        }
        if (!leader.get().mayAnswerWorkers()) {
            return redirectOrReject(HeartbeatOutcome.STALE_VIEW);
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
     * Records that a heartbeat was dropped under load. The leader must not declare a worker dead because of an unread
     * heartbeat.
     */
    void recordDropped() {
        reachability.recordHeartbeat();
        currentLeader.get().ifPresent(Leader::heartbeatsDropped);
    }

    private Response respond(Leader leader, WorkerHeartbeat heartbeat) {
        if (leader.isOfLaterTerm(heartbeat.fencingToken())) {
            metrics.count(HeartbeatOutcome.NEWER_TERM);
            return Response.error(503, "a newer leader was seen");
        }
        return leader.heartbeat(heartbeat).orElseGet(() -> Response.error(503, "given up"));
    }

    /**
     * Redirects the worker if another node is known to be the leader; otherwise rejects the heartbeat. Counts the
     * outcome as REDIRECTED or as {@code reason}, respectively.
     */
    private Response redirectOrReject(HeartbeatOutcome reason) {
        Optional<Response> redirect = leaderLocator
                .leaderOnOtherNode()
                .map(name -> redirects.computeIfAbsent(name, WorkerCommand::redirectToLeader));
        metrics.count(redirect.isPresent() ? HeartbeatOutcome.REDIRECTED : reason);
        return redirect.orElse(noLeaderResponse);
    }
}
