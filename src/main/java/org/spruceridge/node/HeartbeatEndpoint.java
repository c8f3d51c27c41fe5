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
 * Answers the heartbeats of workers: the leader answers with commands, any other node redirects to the leader or refuses.
 * Only an answer with commands renews the worker's lease.
 */
final class HeartbeatEndpoint {
    private final Election election;
    private final CurrentLeader currentLeader;
    private final LeaderLocator locator;
    private final WorkerReachability reachability;
    private final LeaderMetrics metrics;
    private final RateLimitedWarnings warnings;
    /** The encoded redirect to each node, kept because followers have little processor time to spare. */
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
     * Answers one heartbeat. A node that does not lead does not parse it: after a leader failed, all its workers try the
     * other nodes again and again, and these need their processor time for the failover.
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
            return answer(leader.get(), WorkerHeartbeat.read(body));
        } catch (BadMessageException e) {
            metrics.count(HeartbeatOutcome.UNREADABLE);
            warnings.warn("unreadable worker heartbeat", "reason=" + e.getMessage());
            return Response.error(400, e.getMessage());
        }
    }

    /** A heartbeat was dropped under load. No worker may be declared dead for a heartbeat that was not read. */
    void dropped() {
        reachability.heartbeatReceived();
        currentLeader.get().ifPresent(Leader::heartbeatsDropped);
    }

    private Response answer(Leader leader, WorkerHeartbeat heartbeat) {
        if (heartbeat.fencingToken() > leader.term()) {
            metrics.count(HeartbeatOutcome.NEWER_TERM);
            return Response.error(503, "a newer leader was seen");
        }
        return leader.heartbeat(heartbeat).orElseGet(() -> Response.error(503, "given up"));
    }

    /** Redirects the worker if another node is known to lead; else refuses, and counts the reason. */
    private Response redirectOrRefuse(HeartbeatOutcome reason) {
        Optional<Response> redirect =
                locator.otherLeader().map(name -> redirects.computeIfAbsent(name, WorkerCommand::redirectToLeader));
        metrics.count(redirect.isPresent() ? HeartbeatOutcome.REDIRECTED : reason);
        return redirect.orElse(noLeaderResponse);
    }
}
