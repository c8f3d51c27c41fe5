package org.spruceridge.node;

import java.util.List;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spruceridge.config.Settings;
import org.spruceridge.election.Election;
import org.spruceridge.leader.Leader;
import org.spruceridge.net.CancellationScope;
import org.spruceridge.net.Durations;
import org.spruceridge.net.Loop;
import org.spruceridge.net.RateLimiter.Priority;
import org.spruceridge.peer.PeerMonitor;
import org.spruceridge.progress.ProgressReport;
import org.spruceridge.record.ProgressRecord;
import org.spruceridge.record.StateKeys;
import org.spruceridge.state.StateClient;
import org.spruceridge.state.StateResult;
import org.spruceridge.state.Transaction;
import org.spruceridge.state.TransactionResult;

/**
 * Publishes the progress of open jobs in the state service about once a second, while this node leads and another node
 * has not confirmed that it receives the leader's heartbeats. That node reads it there, and goes on to answer users. A
 * node that is down costs these writes too, because the leader cannot tell it from one whose connections are refused.
 *
 * <p>The transaction compares the leader key and the record itself, so that one that is executed late changes nothing.
 */
final class ProgressPublisher {
    private static final Logger LOG = LoggerFactory.getLogger(ProgressPublisher.class);
    private static final long INTERVAL_NANOS = Durations.nanos(1);
    /** The time within which the other nodes receive the first heartbeats of a leader and confirm them. */
    private static final long FIRST_CONFIRMATION_NANOS = Durations.nanos(2.5);
    /** Marks that the mod revision of the stored record is not known. */
    private static final long UNKNOWN_REVISION = -1;

    private final CancellationScope scope;
    private final Settings settings;
    private final StateClient state;
    private final Election election;
    private final CurrentLeader currentLeader;
    private final PeerMonitor peers;
    private final List<String> memberHostNames;
    private long recordRevision = UNKNOWN_REVISION;
    private int firstJob;
    private boolean isPublishing;

    ProgressPublisher(
            Loop loop,
            Settings settings,
            StateClient state,
            Election election,
            CurrentLeader currentLeader,
            PeerMonitor peers) {
        this.scope = new CancellationScope(loop);
        this.settings = settings;
        this.state = state;
        this.election = election;
        this.currentLeader = currentLeader;
        this.peers = peers;
        this.memberHostNames =
                settings.members().stream().map(Settings.Member::hostName).toList();
    }

    /** Starts the periodic check whether the progress must be published. */
    void start() {
        Optional<Leader> leader = leaderToPublish();
        if (leader.isPresent() != isPublishing) {
            isPublishing = leader.isPresent();
            LOG.info("progress in the state service published={}", isPublishing);
        }
        if (leader.isEmpty()) {
            scheduleNext();
        } else if (recordRevision == UNKNOWN_REVISION) {
            readRevision();
        } else {
            publish(leader.get().leaderRevision());
        }
    }

    /** Stops publishing. */
    void stop() {
        scope.close();
    }

    private Optional<Leader> leaderToPublish() {
        return currentLeader
                .get()
                .filter(leader -> election.isLeader()
                        && leader.termAgeNanos() > FIRST_CONFIRMATION_NANOS
                        && !peers.allPeersReceive(leader.term(), memberHostNames));
    }

    private void scheduleNext() {
        scope.after(INTERVAL_NANOS, this::start);
    }

    private void readRevision() {
        state.get(StateKeys.PROGRESS, Priority.SCHEDULING, scope.guard(result -> {
            if (result.isOk()) {
                recordRevision = result.value().modRevision();
            } else if (result.outcome() == StateResult.Outcome.NOT_FOUND) {
                recordRevision = 0;
            }
            if (recordRevision == UNKNOWN_REVISION) {
                scheduleNext();
            } else {
                start();
            }
        }));
    }

    private void publish(long leaderRevision) {
        state.commitWhenAdmitted(Priority.SCHEDULING, 1, () -> compose(leaderRevision), scope.guard(this::onPublished));
    }

    /** Composes the record only when the rate limit admits the request, so that it does not age in the queue. */
    private Optional<Transaction> compose(long leaderRevision) {
        Optional<Leader> leader = leaderToPublish();
        if (leader.isEmpty() || leader.get().leaderRevision() != leaderRevision) {
            scheduleNext();
            return Optional.empty();
        }
        ProgressReport report = leader.get().progressReport();
        firstJob = Math.floorMod(firstJob + 1, Math.max(1, report.progress().size()));
        return Optional.of(Transaction.builder()
                .compare(StateKeys.LEADER, leaderRevision)
                .put(
                        StateKeys.PROGRESS,
                        recordRevision,
                        new ProgressRecord(leader.get().term(), report)
                                .write(settings.state().recordKb(), firstJob))
                .build());
    }

    private void onPublished(TransactionResult result) {
        recordRevision = result.isCommitted() ? result.revision() : UNKNOWN_REVISION;
        scheduleNext();
    }
}
