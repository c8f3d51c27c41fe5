package org.spruceridge.node;

import com.google.common.collect.ImmutableMap;
import java.util.List;
import java.util.random.RandomGenerator;
import org.spruceridge.api.JobsEndpoint;
import org.spruceridge.api.RecentCancellations;
import org.spruceridge.api.Router;
import org.spruceridge.cloud.CloudClient;
import org.spruceridge.cluster.MachineType;
import org.spruceridge.config.CancellationTimes;
import org.spruceridge.config.Policy;
import org.spruceridge.config.Settings;
import org.spruceridge.election.Election;
import org.spruceridge.election.ElectionDependencies;
import org.spruceridge.leader.Leader;
import org.spruceridge.net.CancellationScope;
import org.spruceridge.net.Durations;
import org.spruceridge.net.HttpClient;
import org.spruceridge.net.Latencies;
import org.spruceridge.net.Loop;
import org.spruceridge.net.RateLimitedWarnings;
import org.spruceridge.net.RateLimiter.Priority;
import org.spruceridge.net.RequestHandler;
import org.spruceridge.peer.MemberVersion;
import org.spruceridge.peer.PeerMonitor;
import org.spruceridge.peer.PeerTransport;
import org.spruceridge.progress.LeaderClock;
import org.spruceridge.progress.ProgressFreshness;
import org.spruceridge.record.StateKeys;
import org.spruceridge.state.StateClient;
import org.spruceridge.term.LeaderContext;
import org.spruceridge.term.LeaderMetrics;
import org.spruceridge.term.LeaderServices;
import org.spruceridge.term.LeaderTerm;
import org.spruceridge.upgrade.ClusterFeatureLevel;
import org.spruceridge.upgrade.FeatureLevel;
import org.spruceridge.warmup.LeaderWarmUp;
import org.spruceridge.worker.WorkerClient;

/**
 * One controller node: connects its components and manages their lifecycle. Time, randomness and network are injected.
 * All methods except the constructor and {@link #handler()} must be called on the event loop.
 */
public final class Node implements Election.Listener {
    private static final long STATE_PROBE_INTERVAL_NANOS = Durations.nanos(1);
    private static final long READINESS_CHECK_INTERVAL_NANOS = Durations.millis(50);

    private final Loop loop;
    private final CancellationScope scope;
    private final Settings settings;
    private final Policy policy;
    private final RateLimitedWarnings warnings;
    private final Latencies latencies;
    private final LeaderMetrics leaderMetrics = new LeaderMetrics();
    private final MemberVersion ownVersion = MemberVersion.own();
    private final CurrentLeader currentLeader = new CurrentLeader();
    private final RateBudget rateBudget;
    private final StateClient state;
    private final CloudClient cloud;
    private final WorkerClient workers;
    private final ClusterFeatureLevel clusterFeatureLevel;
    private final Election election;
    private final PeerMonitor peers;
    private final LeaderLocator leaderLocator;
    private final UnreachableLeaderResignation unreachableLeaderResignation;
    private final MachineTypeCatalogue catalogue;
    private final LeaderWarmUp warmUp;
    private final LeaderAbsence leaderAbsence;
    private final LeaderClock leaderClock = new LeaderClock();
    private final ProgressPublisher progressPublisher;
    private final PublishedProgress publishedProgress;
    private final Router router;

    /** Creates a node. Its components do nothing until {@link #start} is called. */
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
        WorkerReachability reachability = new WorkerReachability(loop, settings);
        this.latencies = new Latencies(loop);
        this.rateBudget = new RateBudget(loop, settings);
        this.state =
                new StateClient(loop, http, settings.stateAddress(), rateBudget.stateLimiter(), warnings, latencies);
        this.cloud = new CloudClient(http, settings.cloudAddress(), rateBudget.cloudLimiter(), warnings);
        this.catalogue = new MachineTypeCatalogue(loop, cloud, state, warnings, this::machineTypesUpdated);
        this.workers = new WorkerClient(http, warnings);
        this.clusterFeatureLevel = new ClusterFeatureLevel(state);
        state.onRateExceeded(() -> rateBudget.stateRateExceeded(role()));
        this.election = new Election(
                new ElectionDependencies(loop, state, clusterFeatureLevel, random, warnings), settings, policy, this);
        StateServiceHealth stateHealth = new StateServiceHealth(state);
        RecentCancellations cancellations = new RecentCancellations(
                loop, Durations.nanos(CancellationTimes.of(settings.workers()).maxStalenessS()));
        PeerHeartbeatSource ownHeartbeat = new PeerHeartbeatSource(
                loop, settings.hostName(), election, currentLeader, stateHealth, reachability, cancellations);
        this.peers = new PeerMonitor(
                loop,
                transport,
                warnings,
                leaderClock,
                settings.hostName(),
                ownHeartbeat::next,
                this::jobCancelledOnPeer);
        this.leaderAbsence = new LeaderAbsence(loop, state, settings);
        this.publishedProgress = new PublishedProgress(loop, state, leaderClock, warnings);
        this.progressPublisher = new ProgressPublisher(loop, settings, state, election, currentLeader, peers);
        this.leaderLocator = new LeaderLocator(election, peers, stateHealth, settings.hostName());
        this.unreachableLeaderResignation =
                new UnreachableLeaderResignation(loop, settings, election, peers, currentLeader, reachability);
        this.warmUp = new LeaderWarmUp(loop, settings, policy);
        this.router = router(stateHealth, reachability, cancellations);
    }

    private Router router(
            StateServiceHealth stateHealth, WorkerReachability reachability, RecentCancellations cancellations) {
        HeartbeatEndpoint heartbeats =
                new HeartbeatEndpoint(election, currentLeader, leaderLocator, reachability, leaderMetrics, warnings);
        MetricsEndpoint metrics = new MetricsEndpoint(
                settings.hostName(), ownVersion, latencies, clusterFeatureLevel, peers, leaderMetrics, currentLeader);
        HealthCheck health = new HealthCheck(settings.nodeCount(), peers, stateHealth);
        JobProgress progress = new JobProgress(election, currentLeader, peers, leaderAbsence, publishedProgress);
        JobsEndpoint jobs = new JobsEndpoint(new JobsEndpoint.Dependencies(
                loop,
                state,
                clusterFeatureLevel,
                settings,
                catalogue::types,
                progress,
                new ProgressFreshness(settings.clockErrorBoundMs()),
                warnings,
                cancellations));
        return new Router(
                jobs,
                heartbeats::handle,
                heartbeats::recordDropped,
                health::isHealthy,
                metrics::render,
                loop,
                latencies);
    }

    /** The handler of all HTTP requests: user API, worker heartbeats, health checks and metrics. */
    public RequestHandler handler() {
        return router;
    }

    /**
     * Starts all components. {@code onReady} runs once, as soon as this node can answer or redirect workers: the node
     * knows another leader, or the node leads and has loaded the list of open jobs.
     */
    public void start(Runnable onReady) {
        awaitReady(onReady);
        election.start();
        latencies.start();
        peers.start();
        progressPublisher.start();
        catalogue.start();
        runPeriodicChecks();
    }

    private void awaitReady(Runnable onReady) {
        boolean isReady = currentLeader.get().map(Leader::mayAnswerWorkers).orElseGet(() -> leaderLocator
                .leaderOnOtherNode()
                .isPresent());
        if (isReady) {
            onReady.run();
        } else {
            scope.after(READINESS_CHECK_INTERVAL_NANOS, () -> awaitReady(onReady));
        }
    }

    /** Stops all components. */
    public void stop() {
        scope.close();
        warmUp.stop();
        catalogue.stop();
        progressPublisher.stop();
        publishedProgress.stop();
        peers.stop();
        latencies.stop();
        election.stop();
        currentLeader.stopAndClear();
    }

    /** True while this node is the elected leader and is allowed to act as such. */
    public boolean leads() {
        return election.isLeader();
    }

    @Override
    public void leadershipAcquired(LeaderTerm term) {
        warmUp.stop();
        rateBudget.apply(RateBudget.Role.LEADER);
        LeaderContext context = LeaderContext.forNewTerm(
                new LeaderServices(loop, warnings, latencies, leaderMetrics),
                settings,
                policy,
                term,
                election::isLeader);
        Leader leader = new Leader(
                context, state, cloud, workers, clusterFeatureLevel, this::allMembersSupportLevel, election::resign);
        currentLeader.set(leader);
        catalogue.types().ifPresent(leader::adoptMachineTypes);
        leader.start();
    }

    @Override
    public void leadershipLost() {
        rateBudget.apply(RateBudget.Role.FOLLOWER);
        currentLeader.stopAndClear();
    }

    private RateBudget.Role role() {
        return currentLeader.isPresent() ? RateBudget.Role.LEADER : RateBudget.Role.FOLLOWER;
    }

    private void machineTypesUpdated(ImmutableMap<String, MachineType> types) {
        currentLeader.get().ifPresent(leader -> leader.adoptMachineTypes(types));
    }

    /** Called when a peer reports that it has confirmed the cancellation of this job to a user. */
    private void jobCancelledOnPeer(String job) {
        currentLeader.get().ifPresent(leader -> leader.jobCancelled(job));
    }

    private boolean allMembersSupportLevel() {
        List<String> members =
                settings.members().stream().map(Settings.Member::hostName).toList();
        return peers.allPeersSupport(FeatureLevel.SUPPORTED, members);
    }

    /** Runs the periodic checks, then probes the state service with a small read. */
    private void runPeriodicChecks() {
        unreachableLeaderResignation.resignIfUnreachable();
        if (!currentLeader.isPresent() && leaderLocator.leader().isPresent()) {
            warmUp.start();
        }
        long sentAt = loop.nanos();
        state.get(StateKeys.LEADER, Priority.LEASE_RENEWAL, scope.guard(probeResult -> {
            leaderAbsence.recordRead(probeResult, sentAt);
            scope.after(STATE_PROBE_INTERVAL_NANOS, this::runPeriodicChecks);
        }));
    }
}
