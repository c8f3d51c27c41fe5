package org.spruceridge.election;

import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spruceridge.config.Policy;
import org.spruceridge.config.Settings;
import org.spruceridge.net.CancellationScope;
import org.spruceridge.net.Durations;
import org.spruceridge.net.Loop;
import org.spruceridge.net.RateLimiter.Priority;
import org.spruceridge.record.LeaderRecord;
import org.spruceridge.record.StateKeys;
import org.spruceridge.state.Transaction;
import org.spruceridge.state.TransactionResult;
import org.spruceridge.term.LeaderTerm;
import org.spruceridge.upgrade.ClusterFeatureLevel;

/**
 * Elects the leader. Watches the leader key and campaigns when the key is absent. Steps down when the key no longer
 * names this node and its term, or when the lease has expired. The term number that a campaign writes is the fencing
 * token of all commands of the leader.
 */
public final class Election {
    private static final Logger LOG = LoggerFactory.getLogger(Election.class);

    /** Receives notifications when this node becomes the leader and when it stops being the leader. */
    public interface Listener {
        /** Called when this node has become the leader. */
        void leadershipAcquired(LeaderTerm leaderTerm);

        /** Called when this node has stopped being the leader, except after {@link Election#stop}. */
        void leadershipLost();
    }

    private record Leadership(LeaderTerm term, LeaderLease lease) {}

    private final Loop loop;
    private final CancellationScope scope;
    private final ElectionContext context;
    private final ClusterFeatureLevel featureLevel;
    private final Candidate candidate;
    private final boolean hasPeers;
    private final Listener listener;
    private final LeaderKeyWatcher leaderKeyWatcher;
    private Optional<LeaderRecord> knownLeader = Optional.empty();
    private Optional<Leadership> leadership = Optional.empty();
    private boolean campaigning;
    private long campaignBackoffUntilNanos = Long.MIN_VALUE;

    /** Creates an election that reads and writes nothing before {@link #start}. */
    public Election(ElectionDependencies dependencies, Settings settings, Policy policy, Listener listener) {
        this.loop = dependencies.loop();
        this.scope = new CancellationScope(loop);
        this.context = new ElectionContext(loop, scope, dependencies.state(), LeaseTimes.of(settings, policy));
        this.featureLevel = dependencies.featureLevel();
        this.candidate = new Candidate(
                settings.hostName(), Long.toHexString(dependencies.random().nextLong()));
        this.hasPeers = settings.nodeCount() > 1;
        this.listener = listener;
        this.leaderKeyWatcher =
                new LeaderKeyWatcher(context, dependencies.random(), dependencies.warnings(), this::leaderKeyObserved);
    }

    /** Reads the leader key and starts watching it. */
    public void start() {
        leaderKeyWatcher.read();
    }

    /** Stops the election, and revokes the lease if this node is the leader. */
    public void stop() {
        leaderKeyWatcher.stop();
        scope.close();
        leadership.ifPresent(held -> held.lease().revoke());
        leadership = Optional.empty();
    }

    /**
     * True while this node is the leader and its lease is guaranteed not to have expired. At any other time, this node
     * must not act as the leader.
     */
    public boolean isLeader() {
        return leadership.isPresent() && leadership.get().lease().isValid();
    }

    /**
     * The host name of the leader according to the last known leader key; empty if the key was absent or not yet read.
     */
    public Optional<String> leaderName() {
        return knownLeader.map(LeaderRecord::hostName);
    }

    /**
     * Ends this node's term before the lease expires, for example because stored records differ from those that this
     * node last wrote. Does nothing if this node is not the leader. This node does not campaign again for one lease
     * TTL, which gives other nodes time to be elected first.
     *
     * @param reason the cause, written to the log
     */
    public void resign(String reason) {
        if (leadership.isEmpty()) {
            return;
        }
        Leadership held = leadership.get();
        LOG.warn("leader resigns term={} reason={}", held.term().term(), reason);
        held.lease().revoke();
        stepDown(held, "resigned");
        campaignBackoffUntilNanos = loop.nanos() + context.leaseTimes().ttlNanos();
        scope.after(context.leaseTimes().ttlNanos(), leaderKeyWatcher::read);
    }

    private void leaderKeyObserved(LeaderKeyState keyState) {
        if (leadership.isPresent()
                && keyState.revision() <= leadership.get().term().leaderRevision()) {
            return; // the state is not newer than the key that this node wrote when it won
        }
        Optional<LeaderRecord> record = keyState.record();
        updateKnownLeader(record);
        if (leadership.isPresent()) {
            if (record.filter(this::isOwnCurrentTerm).isPresent()) {
                return;
            }
            stepDown(
                    leadership.get(),
                    "leader-key-changed node="
                            + record.map(LeaderRecord::hostName).orElse("none"));
        }
        if (record.isEmpty()) {
            campaign(0);
        } else if (candidate.hasSameIncarnation(record.get())) {
            // This process wrote the key in a campaign whose outcome was unknown. The lease of that campaign has been
            // revoked or expires soon.
            campaign(keyState.modRevision());
        } else if (candidate.hasSameHost(record.get())) {
            deleteKeyOfEarlierIncarnation(keyState.modRevision());
        }
    }

    private void updateKnownLeader(Optional<LeaderRecord> record) {
        if (!knownLeader.equals(record)) {
            LOG.info(
                    "leader key changed node={} term={}",
                    record.map(LeaderRecord::hostName).orElse("none"),
                    record.map(LeaderRecord::term).orElse(0L));
        }
        knownLeader = record;
    }

    private boolean isOwnCurrentTerm(LeaderRecord record) {
        return candidate.hasSameIncarnation(record)
                && record.term() == leadership.get().term().term();
    }

    /**
     * Deletes a leader key that an earlier process on this host wrote. Only one process at a time runs on a host. The
     * earlier process has therefore ended, and this node need not wait for its lease to expire. If there are other
     * nodes, this node delays its own campaign by one renewal interval, because a node that did not restart can take
     * over faster.
     */
    private void deleteKeyOfEarlierIncarnation(long modRevision) {
        long intervalNanos = context.leaseTimes().renewalIntervalNanos();
        if (hasPeers) {
            campaignBackoffUntilNanos = Math.max(campaignBackoffUntilNanos, loop.nanos() + intervalNanos);
        }
        Transaction transaction =
                Transaction.builder().delete(StateKeys.LEADER, modRevision).build();
        context.state().commit(transaction, Priority.LEASE_RENEWAL, scope.guard(result -> {
            if (result.outcome() != TransactionResult.Outcome.COMMITTED) {
                leaderKeyWatcher.scheduleRetry();
            }
        }));
        scope.after(intervalNanos, leaderKeyWatcher::read);
    }

    private void campaign(long expectedLeaderRevision) {
        if (campaigning || loop.nanos() < campaignBackoffUntilNanos) {
            return;
        }
        campaigning = true;
        new Campaign(context, featureLevel, candidate, expectedLeaderRevision, this::campaignEnded).start();
    }

    private void campaignEnded(Optional<Campaign.Win> win) {
        campaigning = false;
        if (win.isPresent()) {
            acquireLeadership(win.get());
        } else {
            leaderKeyWatcher.scheduleRetry();
        }
    }

    private void acquireLeadership(Campaign.Win win) {
        LeaderTerm term = new LeaderTerm(
                win.record().term(), win.election(), win.leaderRevision(), loop.nanos(), win.featureLevel());
        Leadership acquired = new Leadership(term, win.lease());
        knownLeader = Optional.of(win.record());
        leadership = Optional.of(acquired);
        LOG.info("leadership acquired term={}", term.term());
        win.lease().keepRenewed(() -> leaseExpired(acquired));
        listener.leadershipAcquired(term);
    }

    private void leaseExpired(Leadership held) {
        stepDown(held, "lease-expired");
        leaderKeyWatcher.read();
    }

    private void stepDown(Leadership held, String reason) {
        LOG.info(
                "leadership lost term={} ageS={} reason={}",
                held.term().term(),
                Durations.secondsSince(held.term().electedAtNanos(), loop.nanos()),
                reason);
        held.lease().stopRenewing();
        leadership = Optional.empty();
        listener.leadershipLost();
    }
}
