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

/** Sends this node's heartbeat and keeps what the others' last said. */
public final class PeerMonitor {
    private static final long EVERY = Durations.nanos(1);
    private static final long FRESH = Durations.nanos(3);

    private final Loop loop;
    private final CancellationScope scope;
    private final PeerTransport link;
    private final RateLimitedWarnings warnings;
    private final Supplier<PeerHeartbeat> own;
    private final Consumer<String> cancelled;
    private final Map<String, Heard> heard = new HashMap<>();
    private PeerHeartbeat leader =
            new PeerHeartbeat("", false, false, 0, ImmutableMap.of(), ImmutableList.of(), MemberVersion.UNANNOUNCED);

    private record Heard(PeerHeartbeat heartbeat, long at) {}

    /** {@code cancelled} is told of each job that another node lately told a user to be cancelled, again and again. */
    public PeerMonitor(
            Loop loop,
            PeerTransport link,
            RateLimitedWarnings warnings,
            Supplier<PeerHeartbeat> own,
            Consumer<String> cancelled) {
        this.loop = loop;
        this.scope = new CancellationScope(loop);
        this.link = link;
        this.warnings = warnings;
        this.own = own;
        this.cancelled = cancelled;
    }

    /** Begins to send heartbeats and to take those of others. */
    public void start() {
        link.start(this::take);
        send();
    }

    /** Ceases to send heartbeats. */
    public void stop() {
        scope.close();
    }

    /** True if another node lately said that the state service serves it. */
    public boolean anyPeerReachesStateService() {
        return anyFresh(PeerHeartbeat::stateServiceReachable);
    }

    /** True if another node was heard lately. */
    public boolean anyPeerAlive() {
        return anyFresh(heartbeat -> true);
    }

    /** The node that lately said that it leads, by the highest term. */
    public Optional<String> leader() {
        long now = loop.nanos();
        return heard.values().stream()
                .filter(h -> now - h.at < FRESH && h.heartbeat.term() > 0)
                .map(Heard::heartbeat)
                .max(Comparator.comparingLong(PeerHeartbeat::term))
                .map(PeerHeartbeat::hostName);
    }

    /** The version that each node announced when it was last heard. */
    public ImmutableSortedMap<String, MemberVersion> versions() {
        ImmutableSortedMap.Builder<String, MemberVersion> versions = ImmutableSortedMap.naturalOrder();
        heard.forEach((host, last) -> versions.put(host, last.heartbeat.version()));
        return versions.build();
    }

    /**
     * True if each of these nodes was heard a moment ago and announced that it supports the level. One that is silent may
     * be coming back with an earlier version.
     */
    public boolean allPeersSupport(FeatureLevel level, Collection<String> hosts) {
        return hosts.stream().allMatch(host -> supports(heard.get(host), level));
    }

    private boolean supports(Heard last, FeatureLevel level) {
        return last != null
                && loop.nanos() - last.at < FRESH
                && last.heartbeat.version().supportedLevel() >= level.number();
    }

    /** True if workers lately reached another node. */
    public boolean anyPeerReachedByWorkers() {
        return anyFresh(PeerHeartbeat::reachedByWorkers);
    }

    private boolean anyFresh(Predicate<PeerHeartbeat> says) {
        long now = loop.nanos();
        return heard.values().stream().anyMatch(h -> says.test(h.heartbeat) && now - h.at < FRESH);
    }

    /** How far a job has come, by the latest word of the newest leader. */
    public Progress progress(String job) {
        return leader.progress().getOrDefault(job, Progress.NONE);
    }

    private void send() {
        link.broadcast(own.get().write());
        scope.after(EVERY, this::send);
    }

    private void take(byte[] frame) {
        try {
            PeerHeartbeat heartbeat = PeerHeartbeat.read(frame);
            heard.put(heartbeat.hostName(), new Heard(heartbeat, loop.nanos()));
            if (heartbeat.term() >= leader.term() && heartbeat.term() > 0) {
                leader = heartbeat;
            }
            heartbeat.cancelled().forEach(cancelled);
        } catch (BadMessageException e) {
            warnings.warn("unreadable frame of a peer", e.getMessage());
        }
    }
}
