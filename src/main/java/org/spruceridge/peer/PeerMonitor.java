package org.spruceridge.peer;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSortedMap;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.spruceridge.net.BadMessageException;
import org.spruceridge.net.CancellationScope;
import org.spruceridge.net.Durations;
import org.spruceridge.net.Loop;
import org.spruceridge.net.RateLimitedWarnings;
import org.spruceridge.peer.PeerHeartbeat.Progress;
import org.spruceridge.upgrade.FeatureLevel;

/** Broadcasts this node's heartbeat and keeps the latest heartbeat of each other node. */
public final class PeerMonitor {
    private static final long HEARTBEAT_INTERVAL_NANOS = Durations.nanos(1);
    /** A heartbeat that was received longer ago says nothing about the present. */
    private static final long HEARTBEAT_TIMEOUT_NANOS = Durations.nanos(3);

    private final Loop loop;
    private final CancellationScope scope;
    private final PeerTransport transport;
    private final RateLimitedWarnings warnings;
    private final Supplier<PeerHeartbeat> ownHeartbeat;
    private final Consumer<String> jobCancelled;
    private final Map<String, ReceivedHeartbeat> lastHeartbeats = new HashMap<>();
    private PeerHeartbeat leaderHeartbeat =
            new PeerHeartbeat("", false, false, 0, ImmutableMap.of(), ImmutableList.of(), MemberVersion.UNANNOUNCED);

    private record ReceivedHeartbeat(PeerHeartbeat heartbeat, long receivedAtNanos) {
        boolean isFresh(long nowNanos) {
            return nowNanos - receivedAtNanos < HEARTBEAT_TIMEOUT_NANOS;
        }
    }

    /**
     * {@code ownHeartbeat} makes the heartbeat to send; {@code jobCancelled} receives the id of each job whose
     * cancellation another node has confirmed, once for each heartbeat that names it.
     */
    public PeerMonitor(
            Loop loop,
            PeerTransport transport,
            RateLimitedWarnings warnings,
            Supplier<PeerHeartbeat> ownHeartbeat,
            Consumer<String> jobCancelled) {
        this.loop = loop;
        this.scope = new CancellationScope(loop);
        this.transport = transport;
        this.warnings = warnings;
        this.ownHeartbeat = ownHeartbeat;
        this.jobCancelled = jobCancelled;
    }

    /** Begins to send heartbeats and to receive those of other nodes. */
    public void start() {
        transport.start(this::receive);
        send();
    }

    /** Ceases to send heartbeats. */
    public void stop() {
        scope.close();
    }

    /** True if another node announced in a fresh heartbeat that the state service answers it. */
    public boolean anyPeerReachesStateService() {
        return anyFresh(PeerHeartbeat::stateServiceReachable);
    }

    /** True if a fresh heartbeat of another node is known. */
    public boolean anyPeerAlive() {
        return anyFresh(heartbeat -> true);
    }

    /** True if another node announced in a fresh heartbeat that workers reach it. */
    public boolean anyPeerReceivesWorkerHeartbeats() {
        return anyFresh(PeerHeartbeat::receivesWorkerHeartbeats);
    }

    /** The host name of the leader of the highest term among the fresh heartbeats. */
    public Optional<String> leader() {
        long now = loop.nanos();
        return lastHeartbeats.values().stream()
                .filter(last -> last.isFresh(now) && last.heartbeat.term() > 0)
                .map(ReceivedHeartbeat::heartbeat)
                .max(Comparator.comparingLong(PeerHeartbeat::term))
                .map(PeerHeartbeat::hostName);
    }

    /** The version in the latest heartbeat of each other node, by host name. */
    public ImmutableSortedMap<String, MemberVersion> versions() {
        ImmutableSortedMap.Builder<String, MemberVersion> versions = ImmutableSortedMap.naturalOrder();
        lastHeartbeats.forEach((host, last) -> versions.put(host, last.heartbeat.version()));
        return versions.build();
    }

    /**
     * True if each of these hosts announced in a fresh heartbeat that it supports the level. A host without a fresh
     * heartbeat may be restarting with an earlier version.
     */
    public boolean allPeersSupport(FeatureLevel level, Collection<String> hosts) {
        return hosts.stream().allMatch(host -> supports(lastHeartbeats.get(host), level));
    }

    /** The progress of a job, from the latest heartbeat of the leader of the highest term. */
    public Progress progress(String job) {
        return leaderHeartbeat.progress().getOrDefault(job, Progress.NONE);
    }

    private boolean supports(ReceivedHeartbeat last, FeatureLevel level) {
        return last != null
                && last.isFresh(loop.nanos())
                && last.heartbeat.version().supportedLevel() >= level.number();
    }

    private boolean anyFresh(Predicate<PeerHeartbeat> condition) {
        long now = loop.nanos();
        return lastHeartbeats.values().stream().anyMatch(last -> condition.test(last.heartbeat) && last.isFresh(now));
    }

    private void send() {
        transport.broadcast(PeerHeartbeatCodec.encode(ownHeartbeat.get()));
        scope.after(HEARTBEAT_INTERVAL_NANOS, this::send);
    }

    private void receive(byte[] frame) {
        try {
            PeerHeartbeat heartbeat = PeerHeartbeatCodec.decode(frame);
            lastHeartbeats.put(heartbeat.hostName(), new ReceivedHeartbeat(heartbeat, loop.nanos()));
            if (heartbeat.term() >= leaderHeartbeat.term() && heartbeat.term() > 0) {
                leaderHeartbeat = heartbeat;
            }
            heartbeat.cancelled().forEach(jobCancelled);
        } catch (BadMessageException e) {
            warnings.warn("unreadable peer heartbeat", "reason=" + e.getMessage());
        }
    }
}
