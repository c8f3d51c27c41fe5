package org.spruceridge.node;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spruceridge.api.JobsEndpoint;
import org.spruceridge.api.RecentCancellations;
import org.spruceridge.api.Router;
import org.spruceridge.cloud.CloudClient;
import org.spruceridge.cluster.Job;
import org.spruceridge.cluster.MachineType;
import org.spruceridge.config.CancellationTimes;
import org.spruceridge.config.Policy;
import org.spruceridge.config.Settings;
import org.spruceridge.election.Election;
import org.spruceridge.election.ElectionDependencies;
import org.spruceridge.leader.Leader;
import org.spruceridge.net.BadMessageException;
import org.spruceridge.net.CancellationScope;
import org.spruceridge.net.Durations;
import org.spruceridge.net.HttpClient;
import org.spruceridge.net.Latencies;
import org.spruceridge.net.Loop;
import org.spruceridge.net.RateLimitedWarnings;
import org.spruceridge.net.RateLimiter;
import org.spruceridge.net.RateLimiter.Priority;
import org.spruceridge.net.RequestHandler;
import org.spruceridge.net.Response;
import org.spruceridge.peer.MemberVersion;
import org.spruceridge.peer.PeerHeartbeat;
import org.spruceridge.peer.PeerMonitor;
import org.spruceridge.peer.PeerTransport;
import org.spruceridge.record.StateKeys;
import org.spruceridge.state.StateClient;
import org.spruceridge.term.HeartbeatOutcome;
import org.spruceridge.term.LeaderContext;
import org.spruceridge.term.LeaderMetrics;
import org.spruceridge.term.LeaderServices;
import org.spruceridge.term.LeaderTerm;
import org.spruceridge.upgrade.ClusterFeatureLevel;
import org.spruceridge.upgrade.FeatureLevel;
import org.spruceridge.warmup.LeaderWarmUp;
import org.spruceridge.worker.WorkerClient;
import org.spruceridge.worker.WorkerCommand;
import org.spruceridge.worker.WorkerHeartbeat;

/** One controller node: its duties, and what it does while it leads. Clocks, randomness and network come in. */
public final class Node implements Election.Listener {
    private static final Logger LOG = LoggerFactory.getLogger(Node.class);
    /** The share of the state service's changes that is kept for what users ask of all nodes together. */
    private static final double USER_WRITES_SHARE = 0.35;
    /**
     * Users come together, and often to one node: one that has been idle takes as many of their changes at once as the
     * service takes in this time. The service itself lends a second's worth.
     */
    private static final double USER_WRITES_BURST_S = 0.5;

    /** What is left unused of the limits, for the services' clocks and ours differ. */
    private static final double USABLE_SHARE = 0.95;

    /** After this many report periods without a report, a node counts as not reached by workers. */
    private static final double WORKER_SILENCE_HEARTBEATS = 2.5;

    /** After it has given the lead up for that, it does not do so again for this many leases. */
    private static final double REELECTION_COOLDOWN_LEASES = 10;

    private static final long STATE_PROBE_INTERVAL_NANOS = Durations.nanos(1);
    private static final long READINESS_CHECK_INTERVAL_NANOS = Durations.millis(50);
    private static final long STATE_OUTAGE_NANOS = Durations.nanos(3);

    private final Loop loop;
    private final CancellationScope scope;
    private final Settings settings;
    private final Policy policy;
    private final RateLimitedWarnings warnings;
    private final Latencies latencies;
    private final LeaderMetrics leaderMetrics = new LeaderMetrics();
    private final RateLimiter stateLimiter;
    private final RateLimiter cloudLimiter;
    private final StateClient state;
    private final CloudClient cloud;
    private final WorkerClient workers;
    private final ClusterFeatureLevel level;
    private final MemberVersion version = MemberVersion.own();
    private final Election election;
    private final PeerMonitor peers;
    private final Router router;
    private final MachineTypeCatalogue catalogue;
    private final RecentCancellations cancellations;
    private final LeaderWarmUp warmUp;
    private final Map<String, Response> redirects = new HashMap<>();
    private final Response noLeaderResponse = Response.error(503, "no leader known");
    private Leader leader;
    private boolean ratesReduced;
    private long lastHeartbeat;
    private long yieldCooldownUntil = Long.MIN_VALUE;

    /** Nothing begins before {@link #start}. */
    public Node(
            Loop loop,
            HttpClient http,
            PeerTransport transport,
            RandomGenerator random,
            Settings settings,
            Policy policy) {
        this.loop = loop;
        this.scope = new CancellationScope(loop);
        this.settings = settings;
        this.policy = policy;
        this.warnings = new RateLimitedWarnings(loop);
        this.lastHeartbeat = loop.nanos();
        this.latencies = new Latencies(loop);
        this.stateLimiter = new RateLimiter(loop, 1, 1, 1);
        this.cloudLimiter = new RateLimiter(loop, 1, 1, 1);
        applyRateShares(false);
        this.state = new StateClient(loop, http, settings.stateAddress(), stateLimiter, warnings, latencies);
        this.cloud = new CloudClient(http, settings.cloudAddress(), cloudLimiter, warnings);
        this.catalogue = new MachineTypeCatalogue(loop, cloud, state, warnings, this::machineTypesUpdated);
        this.workers = new WorkerClient(http, warnings);
        this.level = new ClusterFeatureLevel(state);
        state.onRateExceeded(this::rateExceeded);
        this.election =
                new Election(new ElectionDependencies(loop, state, level, random, warnings), settings, policy, this);
        this.peers = new PeerMonitor(loop, transport, warnings, this::heartbeat, this::cancelled);
        this.warmUp = new LeaderWarmUp(loop, settings, policy);
        this.cancellations = new RecentCancellations(
                loop, Durations.nanos(CancellationTimes.of(settings.workers()).maxStalenessS()));
        JobsEndpoint jobs = new JobsEndpoint(
                loop, state, level, settings, catalogue::types, this::progress, warnings, cancellations);
        this.router = new Router(
                jobs, this::heartbeat, this::heartbeatDropped, this::isHealthy, this::metrics, loop, latencies);
    }

    /** Takes the requests of users, workers and health checks. */
    public RequestHandler handler() {
        return router;
    }

    /**
     * Begins all duties. {@code ready} runs once, when this node knows where workers belong: it knows the leader, or
     * leads and has read which jobs are open.
     */
    public void start(Runnable ready) {
        awaitReady(ready);
        election.start();
        latencies.start();
        peers.start();
        catalogue.start();
        probeStateService();
    }

    private void awaitReady(Runnable ready) {
        boolean knowsLeader = leaderForWorkers()
                .filter(name -> !name.equals(settings.hostName()))
                .isPresent();
        if (leader == null ? knowsLeader : leader.mayAnswerWorkers()) {
            ready.run();
        } else {
            scope.after(READINESS_CHECK_INTERVAL_NANOS, () -> awaitReady(ready));
        }
    }

    /** Ends all duties. */
    public void stop() {
        scope.close();
        warmUp.stop();
        catalogue.stop();
        peers.stop();
        latencies.stop();
        election.stop();
        if (leader != null) {
            leader.stop();
            leader = null;
        }
    }

    /** True while this node may act as leader. */
    public boolean leads() {
        return election.isLeader();
    }

    @Override
    public void leadershipAcquired(LeaderTerm term) {
        warmUp.stop();
        applyRateShares(true);
        LeaderContext context = LeaderContext.begin(
                new LeaderServices(loop, warnings, latencies, leaderMetrics),
                settings,
                policy,
                term,
                election::isLeader);
        leader = new Leader(context, state, cloud, workers, level, this::allMembersSupportLevel, election::resign);
        catalogue.types().ifPresent(leader::adoptMachineTypes);
        leader.start();
    }

    @Override
    public void leadershipLost() {
        applyRateShares(false);
        if (leader != null) {
            leader.stop();
            leader = null;
        }
    }

    private void machineTypesUpdated(ImmutableMap<String, MachineType> types) {
        if (leader != null) {
            leader.adoptMachineTypes(types);
        }
    }

    private void applyRateShares(boolean leading) {
        int nodes = settings.nodeCount();
        Settings.StateLimits limits =
                ratesReduced ? settings.state().next() : settings.state().current();
        double reads = limits.rps() * USABLE_SHARE / nodes;
        double writes = limits.writeRps() * USABLE_SHARE;
        double usersShare = USER_WRITES_SHARE / nodes;
        // A follower has next to nothing of its own to write: an election, the catalogue.
        double ownShare = leading ? 1 - USER_WRITES_SHARE : usersShare;
        stateLimiter.setRates(reads, writes * ownShare, writes * usersShare, writes * USER_WRITES_BURST_S);
        double cloudShare = nodes == 1 ? 1 : leading ? 0.8 : 0.2 / (nodes - 1);
        cloudLimiter.setRates(settings.cloud().rps() * USABLE_SHARE * cloudShare, 1, 1, 1);
    }

    /**
     * Answers a report. Who does not lead does not look into it: after the end of a leader its workers all ask the other
     * nodes again and again, and these have no more processor than they need for the next failover.
     */
    private Response heartbeat(byte[] body) {
        lastHeartbeat = loop.nanos();
        if (!election.isLeader() || leader == null) {
            return refuse(HeartbeatOutcome.NO_LEADER);
        }
        if (!leader.mayAnswerWorkers()) {
            return refuse(HeartbeatOutcome.STALE_VIEW);
        }
        try {
            return heartbeat(WorkerHeartbeat.read(body));
        } catch (BadMessageException e) {
            leaderMetrics.count(HeartbeatOutcome.UNREADABLE);
            warnings.warn("unreadable report", e.getMessage());
            return Response.error(400, e.getMessage());
        }
    }

    /** Sends a worker to the node that leads, if one is known; {@code why} is counted if not. */
    private Response refuse(HeartbeatOutcome why) {
        Optional<Response> redirect = leaderForWorkers()
                .filter(name -> !name.equals(settings.hostName()))
                .map(name -> redirects.computeIfAbsent(name, WorkerCommand::redirectToLeader));
        leaderMetrics.count(redirect.isPresent() ? HeartbeatOutcome.REDIRECTED : why);
        return redirect.orElse(noLeaderResponse);
    }

    /** Nobody is silent while reports are let go unread here. */
    private void heartbeatDropped() {
        lastHeartbeat = loop.nanos();
        if (leader != null) {
            leader.heartbeatsDropped();
        }
    }

    private Response heartbeat(WorkerHeartbeat heartbeat) {
        if (heartbeat.fencingToken() > leader.term()) {
            leaderMetrics.count(HeartbeatOutcome.NEWER_TERM);
            return Response.error(503, "a newer leader was seen");
        }
        return leader.heartbeat(heartbeat).orElseGet(() -> Response.error(503, "given up"));
    }

    /** The state service refuses what was within its limits: it has those by now that the settings announce. */
    private void rateExceeded() {
        if (!ratesReduced && settings.state().ratesWillFall()) {
            ratesReduced = true;
            LOG.info("the state service has lowered its rates");
            applyRateShares(leader != null);
        }
    }

    private boolean allMembersSupportLevel() {
        List<String> members =
                settings.members().stream().map(Settings.Member::hostName).toList();
        return peers.allPeersSupport(FeatureLevel.SUPPORTED, members);
    }

    private ObjectNode metrics() {
        ObjectNode out = latencies.toJson();
        ObjectNode cluster = out.putObject("cluster")
                .put("featureLevel", level.highestKnown().number());
        ObjectNode versions = cluster.putObject("versions").put(settings.hostName(), version.name());
        peers.versions().forEach((host, memberVersion) -> versions.put(host, memberVersion.name()));
        leaderMetrics.writeTo(out);
        if (leader != null) {
            leader.writeTo(out.putObject("leader"));
        }
        return out;
    }

    /** The leader, if there is fresh word of it: a node cut off from the others must not hold or misguide workers. */
    private Optional<String> leaderForWorkers() {
        return stateServiceReachable() ? election.leaderName() : peers.leader();
    }

    /**
     * Users are better served elsewhere if the state service is out of reach of this node and not of another, or if no
     * other is heard either. In an outage that all share, every node stays.
     */
    private boolean isHealthy() {
        boolean alone = settings.nodeCount() > 1 && !peers.anyPeerAlive();
        return stateServiceReachable() || !(alone || peers.anyPeerReachesStateService());
    }

    private boolean stateServiceReachable() {
        return state.nanosSinceLastServed() < STATE_OUTAGE_NANOS;
    }

    private PeerHeartbeat heartbeat() {
        ImmutableMap.Builder<String, PeerHeartbeat.Progress> progress = ImmutableMap.builder();
        long term = 0;
        if (leader != null && election.isLeader()) {
            term = leader.term();
            for (Job job : leader.cluster().jobs()) {
                if (!job.isCancelled()) {
                    progress.put(job.id(), new PeerHeartbeat.Progress(job.doneCount(), job.running()));
                }
            }
        }
        return new PeerHeartbeat(
                settings.hostName(),
                state.hasEverBeenServed() && stateServiceReachable(),
                workersReachable(),
                term,
                progress.build(),
                cancellations.recent(),
                version);
    }

    /** Another node told a user that this job is cancelled. */
    private void cancelled(String job) {
        if (leader != null) {
            leader.jobCancelled(job);
        }
    }

    private PeerHeartbeat.Progress progress(String id) {
        if (leader != null) {
            Job job = leader.cluster().job(id);
            return job == null
                    ? PeerHeartbeat.Progress.NONE
                    : new PeerHeartbeat.Progress(job.doneCount(), job.running());
        }
        return peers.progress(id);
    }

    private boolean workersReachable() {
        return loop.nanos() - lastHeartbeat < workerSilenceNanos();
    }

    private long workerSilenceNanos() {
        return Durations.nanos(WORKER_SILENCE_HEARTBEATS * settings.workers().heartbeatIntervalS());
    }

    /**
     * A leader that workers do not reach while they reach other nodes gives the lead up: else all leases run out, for
     * the others keep sending the workers to it. It does so once in a while only: a lone worker to which no answer gets
     * through wanders from node to node, and would take the lead from each of them in turn for ever.
     */
    private void yieldIfUnreachable() {
        long now = loop.nanos();
        boolean unreachable = leader != null
                && leader.termAgeNanos() > workerSilenceNanos()
                && !workersReachable()
                && peers.anyPeerReachedByWorkers();
        if (unreachable && now >= yieldCooldownUntil) {
            yieldCooldownUntil = now
                    + Durations.nanos(
                            REELECTION_COOLDOWN_LEASES * settings.workers().leaseS());
            election.resign("workers reach other nodes, and not this one");
        }
    }

    /** Asks the state service for something small, to know whether it serves this node. */
    private void probeStateService() {
        yieldIfUnreachable();
        if (leader == null && leaderForWorkers().isPresent()) {
            warmUp.start();
        }
        state.get(
                StateKeys.LEADER,
                Priority.LEASE_RENEWAL,
                scope.guard(found -> scope.after(STATE_PROBE_INTERVAL_NANOS, this::probeStateService)));
    }
}
