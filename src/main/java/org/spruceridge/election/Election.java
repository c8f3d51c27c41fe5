package org.spruceridge.election;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spruceridge.config.Policy;
import org.spruceridge.config.Settings;
import org.spruceridge.net.BadMessageException;
import org.spruceridge.net.Cancellable;
import org.spruceridge.net.CancellationScope;
import org.spruceridge.net.Durations;
import org.spruceridge.net.Json;
import org.spruceridge.net.Loop;
import org.spruceridge.net.RateLimitedWarnings;
import org.spruceridge.net.RateLimiter.Priority;
import org.spruceridge.record.LeaderRecord;
import org.spruceridge.record.StateKeys;
import org.spruceridge.state.Change;
import org.spruceridge.state.Entry;
import org.spruceridge.state.StateClient;
import org.spruceridge.state.StateResult;
import org.spruceridge.state.Transaction;
import org.spruceridge.state.TransactionResult;
import org.spruceridge.term.LeaderTerm;
import org.spruceridge.upgrade.ClusterFeatureLevel;
import org.spruceridge.upgrade.StoredFeatureLevel;

/**
 * Elects the leader by one guarded transaction on the state service, and keeps its grant alive. The term that the
 * transaction writes is the token of all orders.
 */
public final class Election {
    private static final Logger LOG = LoggerFactory.getLogger(Election.class);
    private static final double WATCH_S = 20;
    private static final long RETRY = Durations.millis(250);
    /** What is taken off a grant's time for rounding and late timers, as a share of it. */
    private static final double SAFETY = 0.03;

    /** Hears of this node's terms. */
    public interface Listener {
        /** This node leads from now on. */
        void leadershipAcquired(LeaderTerm leaderTerm);

        /** It no longer leads. */
        void leadershipLost();
    }

    private final Loop loop;
    private final StateClient state;
    private final RandomGenerator random;
    private final RateLimitedWarnings warnings;
    private final String hostName;
    private final String incarnation;
    private final long ttl;
    private final long renewEvery;
    private final Listener listener;
    private final ClusterFeatureLevel level;
    private final CancellationScope scope;
    private Cancellable watch = () -> {};
    private Optional<LeaderRecord> known = Optional.empty();
    private final boolean others;
    private boolean campaigning;
    private long campaignBackoffUntil = Long.MIN_VALUE;
    private LeaderTerm leaderTerm;
    private long leaseId;
    private long validUntil;

    /** The listener hears of each term that this node wins or loses. */
    public Election(
            Loop loop,
            StateClient state,
            ClusterFeatureLevel level,
            RandomGenerator random,
            RateLimitedWarnings warnings,
            Settings settings,
            Policy policy,
            Listener listener) {
        this.loop = loop;
        this.state = state;
        this.level = level;
        this.random = random;
        this.warnings = warnings;
        this.hostName = settings.hostName();
        this.others = settings.nodeCount() > 1;
        this.incarnation = Long.toHexString(random.nextLong());
        this.ttl = Durations.nanos(
                settings.workers().leaseS() * policy.leadership().ttlWorkerLeases());
        this.renewEvery = (long) (ttl / policy.leadership().renewalsPerTtl());
        this.listener = listener;
        this.scope = new CancellationScope(loop);
    }

    /** Reads the leader key and follows it from then on. */
    public void start() {
        read();
    }

    /** Ends it, and gives up the leader key if this node holds it. */
    public void stop() {
        watch.cancel();
        scope.close();
        if (leaderTerm != null) {
            leaderTerm = null;
            state.revokeLease(leaseId);
        }
    }

    /** True while this node may act as leader: its grant certainly has not ended. */
    public boolean isLeader() {
        return leaderTerm != null && loop.nanos() < validUntil;
    }

    /** The name of the leader, as far as is known. */
    public Optional<String> leaderName() {
        return known.map(LeaderRecord::hostName);
    }

    /** Gives the lead up, as when the records are not as this node left them. */
    public void resign(String why) {
        if (leaderTerm != null) {
            LOG.warn("term {}: giving up the lead: {}", leaderTerm.term(), why);
            state.revokeLease(leaseId);
            stepDown("it was given up");
            campaignBackoffUntil = loop.nanos() + ttl; // others first
            scope.after(ttl, this::read);
        }
    }

    private void read() {
        watch.cancel();
        state.list(StateKeys.LEADER, Priority.LEASE_RENEWAL, scope.guard(listing -> {
            if (!listing.isOk()) {
                scheduleRetry();
                return;
            }
            Optional<Entry> entry = listing.value().entries().stream()
                    .filter(e -> e.key().equals(StateKeys.LEADER))
                    .findFirst();
            long revision = listing.value().revision();
            judge(
                    entry.map(Entry::value).map(this::parse),
                    entry.map(Entry::modRevision).orElse(0L),
                    revision);
            watch(revision);
        }));
    }

    private void scheduleRetry() {
        scope.after(RETRY + random.nextLong(RETRY), this::read);
    }

    private void watch(long from) {
        watch.cancel();
        watch = state.watch(StateKeys.LEADER, from, WATCH_S, scope.guard(result -> {
            if (!result.isOk()) {
                scheduleRetry();
                return;
            }
            for (Change change : result.value().changes()) {
                if (change.key().equals(StateKeys.LEADER)) {
                    if (change instanceof Change.Put put) {
                        judge(Optional.of(parse(put.value())), put.modRevision(), put.modRevision());
                    } else {
                        judge(Optional.empty(), 0, change.modRevision());
                    }
                }
            }
            watch(result.value().revision());
        }));
    }

    private LeaderRecord parse(JsonNode value) {
        try {
            return LeaderRecord.read(value);
        } catch (BadMessageException e) {
            warnings.warn("unreadable leader record", e.getMessage());
            return new LeaderRecord("", "", 0);
        }
    }

    /** Acts on what the leader key held as of a revision. */
    private void judge(Optional<LeaderRecord> record, long modRevision, long revision) {
        if (leaderTerm != null && revision <= leaderTerm.leaderRevision()) {
            return; // older than our win
        }
        if (!known.equals(record)) {
            LOG.info(
                    "leader: {}",
                    record.map(r -> r.hostName() + ", term " + r.term()).orElse("none"));
        }
        known = record;
        boolean mine = record.isPresent() && record.get().hostName().equals(hostName);
        boolean thisIncarnation = mine && record.get().incarnation().equals(incarnation);
        if (leaderTerm != null) {
            if (thisIncarnation && record.get().term() == leaderTerm.term()) {
                return;
            }
            stepDown(
                    "the leader key names " + record.map(LeaderRecord::hostName).orElse("nobody"));
        }
        if (record.isEmpty()) {
            campaign(0);
        } else if (thisIncarnation) {
            // A campaign whose outcome was unknown has been carried out; its grant is not to be relied on.
            campaign(modRevision);
        } else if (mine) {
            release(modRevision);
        }
    }

    /**
     * Our host name under another incarnation: that process is dead, for a host runs one at a time, so nobody need wait for
     * the end of its grant. Nodes that have been up all the time come first: they are faster than one that has just begun.
     */
    private void release(long modRevision) {
        if (others) {
            campaignBackoffUntil = Math.max(campaignBackoffUntil, loop.nanos() + renewEvery);
        }
        Transaction txn =
                Transaction.builder().delete(StateKeys.LEADER, modRevision).build();
        state.commit(txn, Priority.LEASE_RENEWAL, scope.guard(result -> {
            if (result.outcome() != TransactionResult.Outcome.COMMITTED) {
                scheduleRetry();
            }
        }));
        scope.after(renewEvery, this::read);
    }

    private void campaign(long leaderRevision) {
        if (campaigning || loop.nanos() < campaignBackoffUntil) {
            return;
        }
        campaigning = true;
        long asked = loop.nanos();
        state.createLease(ttl / 1_000_000, scope.guard(created -> {
            if (!created.isOk()) {
                abandonCampaign();
                return;
            }
            leaseId = created.value();
            validUntil = validity(asked);
            level.read(Priority.LEASE_RENEWAL, scope.guard(found -> {
                if (found.isOk()) {
                    campaign(leaderRevision, found.value());
                } else {
                    abandonCampaign(); // what the others write could be misread here
                }
            }));
        }));
    }

    /** Goes on with a campaign once the cluster feature level is known to be supported. */
    private void campaign(long leaderRevision, StoredFeatureLevel onRecord) {
        state.get(StateKeys.TERM, Priority.LEASE_RENEWAL, scope.guard(term -> {
            if (term.outcome() == StateResult.Outcome.UNAVAILABLE) {
                abandonCampaign();
                return;
            }
            long modRevision = term.isOk() ? term.value().modRevision() : 0;
            long next = term.isOk() ? term.value().value().path("term").asLong() + 1 : 1;
            LeaderRecord record = new LeaderRecord(hostName, incarnation, next);
            Transaction txn = Transaction.builder()
                    .compare(StateKeys.FEATURE_LEVEL, onRecord.modRevision())
                    .putWithLease(StateKeys.LEADER, leaderRevision, record.write(), leaseId)
                    .put(StateKeys.TERM, modRevision, Json.object().put("term", next))
                    .build();
            attempt(txn, record, onRecord);
        }));
    }

    private void attempt(Transaction txn, LeaderRecord record, StoredFeatureLevel onRecord) {
        state.commit(txn, Priority.LEASE_RENEWAL, scope.guard(result -> {
            if (result.outcome() == TransactionResult.Outcome.COMMITTED) {
                win(record, result.revision(), onRecord);
            } else if (result.outcome() == TransactionResult.Outcome.UNKNOWN && loop.nanos() < validUntil) {
                scope.after(RETRY, () -> attempt(txn, record, onRecord));
            } else {
                // Lost, refused, or unknown for too long: what the leader key says decides.
                abandonCampaign();
            }
        }));
    }

    private void abandonCampaign() {
        campaigning = false;
        if (leaseId != 0) {
            state.revokeLease(leaseId);
            leaseId = 0;
        }
        scheduleRetry();
    }

    private void win(LeaderRecord record, long modRevision, StoredFeatureLevel onRecord) {
        campaigning = false;
        known = Optional.of(record);
        leaderTerm = new LeaderTerm(record.term(), modRevision, loop.nanos(), onRecord);
        LOG.info("term {}: this node leads", record.term());
        scope.after(renewEvery, () -> renewLease(record.term()));
        listener.leadershipAcquired(leaderTerm);
    }

    private void renewLease(long term) {
        if (leaderTerm == null || leaderTerm.term() != term) {
            return;
        }
        state.renewLease(leaseId, renewEvery, scope.guard(result -> {
            if (leaderTerm == null || leaderTerm.term() != term) {
                return;
            }
            if (result.outcome() == StateResult.Outcome.NOT_FOUND) {
                stepDown("its grant has ended");
                read();
                return;
            }
            if (result.isOk()) {
                validUntil = validity(result.value());
            }
            scope.after(result.isOk() ? renewEvery : renewEvery / 4, () -> renewLease(term));
        }));
    }

    private long validity(long sentAt) {
        return sentAt + (long) (ttl * (1 - Durations.MAX_CLOCK_DRIFT_RATIO - SAFETY));
    }

    private void stepDown(String why) {
        LOG.info(
                "term {}: this node no longer leads after {} s: {}",
                leaderTerm.term(),
                Durations.secondsSince(leaderTerm.electedAtNanos(), loop.nanos()),
                why);
        leaderTerm = null;
        leaseId = 0;
        listener.leadershipLost();
    }
}
