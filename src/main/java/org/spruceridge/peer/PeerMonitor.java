package org.spruceridge.peer;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSortedMap;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;
import org.spruceridge.net.BadMessageException;
import org.spruceridge.net.CancellationScope;
import org.spruceridge.net.Durations;
import org.spruceridge.net.Loop;
import org.spruceridge.net.RateLimitedWarnings;
import org.spruceridge.peer.PeerReceipts.Receipt;
import org.spruceridge.progress.LeaderClock;
import org.spruceridge.progress.Progress;
import org.spruceridge.progress.ProgressFreshness;
import org.spruceridge.progress.ProgressReport;
import org.spruceridge.upgrade.FeatureLevel;

/** Broadcasts this node's heartbeat and keeps the latest heartbeat of each peer. */
public final class PeerMonitor {
    private static final long HEARTBEAT_INTERVAL_NANOS = Durations.nanos(1);
    /** A heartbeat is fresh for this time after its receipt, and stale afterwards. */
    private static final long HEARTBEAT_TIMEOUT_NANOS = Durations.nanos(3);
    /** The maximum age of a heartbeat by which a peer confirms that it receives the leader's heartbeats. */
    private static final long CONFIRMATION_TIMEOUT_NANOS = Durations.nanos(2);

    private final Loop loop;
    private final CancellationScope scope;
    private final PeerTransport transport;
    private final RateLimitedWarnings warnings;
    private final Function<PeerReceipts, PeerHeartbeat> ownHeartbeat;
    private final Consumer<String> onJobCancelled;
    private final LeaderClock leaderClock;
    private final String ownHostName;
    private final Map<String, ReceivedHeartbeat> latestHeartbeats = new HashMap<>();
    /** The term and the report of the leader with the highest term. */
    private long leaderTerm;

    private ProgressReport leaderReport = ProgressReport.empty(PeerHeartbeat.NOT_STAMPED);
    private long leaderReportReceivedAt = Long.MIN_VALUE / 2;

    private record ReceivedHeartbeat(PeerHeartbeat heartbeat, long receivedAtNanos) {
        boolean isFresh(long nowNanos) {
            return isYounger(HEARTBEAT_TIMEOUT_NANOS, nowNanos);
        }

        boolean isYounger(long maxAgeNanos, long nowNanos) {
            return nowNanos - receivedAtNanos < maxAgeNanos;
        }
    }

    /**
     * {@code ownHeartbeat} supplies the heartbeat to send; its argument is what this node has received. {@code
     * onJobCancelled} receives the id of each job whose cancellation a peer has confirmed to a user. A job id is passed
     * once for each heartbeat that contains the id.
     */
    public PeerMonitor(
            Loop loop,
            PeerTransport transport,
            RateLimitedWarnings warnings,
            LeaderClock leaderClock,
            String ownHostName,
            Function<PeerReceipts, PeerHeartbeat> ownHeartbeat,
            Consumer<String> onJobCancelled) {
        this.loop = loop;
        this.scope = new CancellationScope(loop);
        this.transport = transport;
        this.warnings = warnings;
        this.leaderClock = leaderClock;
        this.ownHostName = ownHostName;
        this.ownHeartbeat = ownHeartbeat;
        this.onJobCancelled = onJobCancelled;
    }

    /** Starts sending this node's heartbeats and receiving the peers' heartbeats. */
    public void start() {
        transport.start(this::receive);
        send();
    }

    /** Stops sending heartbeats. */
    public void stop() {
        scope.close();
    }

    /** True if a fresh heartbeat of a peer reports that the peer can reach the state service. */
    public boolean anyPeerReachesStateService() {
        return anyFreshHeartbeat(PeerHeartbeat::stateServiceReachable);
    }

    /** True if the latest heartbeat of any peer is fresh. */
    public boolean anyPeerAlive() {
        return anyFreshHeartbeat(heartbeat -> true);
    }

    /** True if a fresh heartbeat of a peer reports that the peer receives worker heartbeats. */
    public boolean anyPeerReceivesWorkerHeartbeats() {
        return anyFreshHeartbeat(PeerHeartbeat::receivesWorkerHeartbeats);
    }

    /** The host name of the node with the highest term among the fresh heartbeats; empty if no node reports a term. */
    public Optional<String> leaderHostName() {
        long now = loop.nanos();
        return latestHeartbeats.values().stream()
                .filter(received -> received.isFresh(now) && received.heartbeat.term() > 0)
                .map(ReceivedHeartbeat::heartbeat)
                .max(Comparator.comparingLong(PeerHeartbeat::term))
                .map(PeerHeartbeat::hostName);
    }

    /** The version in the latest heartbeat of each peer, fresh or stale, by host name. */
    public ImmutableSortedMap<String, MemberVersion> versionsByHost() {
        ImmutableSortedMap.Builder<String, MemberVersion> versions = ImmutableSortedMap.naturalOrder();
        latestHeartbeats.forEach((host, received) -> versions.put(host, received.heartbeat.version()));
        return versions.build();
    }

    /**
     * True if a fresh heartbeat of each of {@code hosts} announces support for the level. False if any of the hosts has
     * no fresh heartbeat, because this host might be restarting with an earlier version.
     */
    public boolean allPeersSupport(FeatureLevel level, Collection<String> hosts) {
        return hosts.stream().allMatch(host -> supports(latestHeartbeats.get(host), level));
    }

    /**
     * The progress of an open job, from the latest heartbeat of the leader with the highest term; empty if that
     * heartbeat is too old for users or does not tell it.
     */
    public Optional<Progress> progress(String job) {
        return hasCurrentReport() ? leaderReport.of(job) : Optional.empty();
    }

    /** What this node has received: the term of a leader whose progress is recent, and the latest heartbeats. */
    private PeerReceipts receipts() {
        ImmutableMap.Builder<String, Receipt> latest = ImmutableMap.builder();
        latestHeartbeats.forEach((host, received) -> {
            if (received.heartbeat.sentAtNanos() != PeerHeartbeat.NOT_STAMPED) {
                latest.put(host, new Receipt(received.heartbeat.sentAtNanos(), received.receivedAtNanos));
            }
        });
        return new PeerReceipts(hasCurrentReport() ? leaderTerm : 0, latest.buildOrThrow());
    }

    /** True if each of {@code hosts} has recently confirmed that it receives the progress of the leader of this term. */
    public boolean allPeersReceive(long term, Collection<String> hosts) {
        return hosts.stream().allMatch(host -> hasConfirmed(latestHeartbeats.get(host), term));
    }

    private boolean hasConfirmed(ReceivedHeartbeat received, long term) {
        return received != null
                && received.isYounger(CONFIRMATION_TIMEOUT_NANOS, loop.nanos())
                && received.heartbeat.receipts().leaderTerm() >= term;
    }

    /** The age of a report of a version without times is counted from its receipt. */
    private boolean hasCurrentReport() {
        long now = loop.nanos();
        if (leaderReport.composedAtNanos() == PeerHeartbeat.NOT_STAMPED) {
            return leaderTerm > 0 && ProgressFreshness.isCurrent(now - leaderReportReceivedAt);
        }
        OptionalLong ageNanos = leaderClock.maxAgeNanos(leaderTerm, leaderReport.composedAtNanos(), now);
        return ageNanos.isPresent() && ProgressFreshness.isCurrent(ageNanos.getAsLong());
    }

    private boolean supports(ReceivedHeartbeat received, FeatureLevel level) {
        return received != null
                && received.isFresh(loop.nanos())
                && received.heartbeat.version().supportedLevel() >= level.number();
    }

    private boolean anyFreshHeartbeat(Predicate<PeerHeartbeat> condition) {
        long now = loop.nanos();
        return latestHeartbeats.values().stream()
                .anyMatch(received -> condition.test(received.heartbeat) && received.isFresh(now));
    }

    private void send() {
        transport.broadcast(PeerHeartbeatCodec.encode(ownHeartbeat.apply(receipts())));
        scope.after(HEARTBEAT_INTERVAL_NANOS, this::send);
    }

    private void receive(byte[] frame) {
        try {
            PeerHeartbeat heartbeat = PeerHeartbeatCodec.decode(frame);
            latestHeartbeats.put(heartbeat.hostName(), new ReceivedHeartbeat(heartbeat, loop.nanos()));
            if (heartbeat.term() >= leaderTerm && heartbeat.term() > 0) {
                receiveReport(heartbeat);
            }
            heartbeat.cancelledJobs().forEach(onJobCancelled);
        } catch (BadMessageException e) {
            warnings.warn("unreadable peer heartbeat", "reason=" + e.getMessage());
        }
    }

    private void receiveReport(PeerHeartbeat heartbeat) {
        leaderTerm = heartbeat.term();
        leaderReport = heartbeat.progress();
        leaderReportReceivedAt = loop.nanos();
        Receipt ownReceipt = heartbeat.receipts().latest().get(ownHostName);
        if (ownReceipt != null) {
            leaderClock.record(leaderTerm, ownReceipt.receivedAtNanos(), ownReceipt.sentAtNanos(), loop.nanos());
        }
    }
}
