package org.spruceridge.failover;

import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.spruceridge.net.CancellationScope;
import org.spruceridge.net.Durations;
import org.spruceridge.net.Loop;
import org.spruceridge.net.RateLimitedWarnings;
import org.spruceridge.net.RateLimiter.Priority;
import org.spruceridge.persistence.RecordPages;
import org.spruceridge.record.StateKeys;
import org.spruceridge.state.Listing;
import org.spruceridge.state.StateClient;
import org.spruceridge.term.LeaderContext;

/**
 * Rebuilds the cluster state of a new term from the records in the state service. All reads are sent after the
 * election, so a previous leader can no longer change the records. Only submissions and cancellations by users can
 * still change the records. The job watch delivers those changes.
 */
public final class Failover {
    /** The delay before a failed read is retried. */
    static final long RETRY_DELAY_NANOS = Durations.millis(200);

    private final Loop loop;
    private final CancellationScope scope;
    private final StateClient state;
    private final RateLimitedWarnings warnings;
    private final ClusterStateBuilder clusterState;
    private Listener listener;

    /** Receives the progress of a failover. */
    public interface Listener {
        /** Called after each completed step. */
        default void stepCompleted(FailoverStep step) {}

        /**
         * Called when all jobs that were open at {@code asOfNanos} are in the cluster state. Tasks of any other job
         * must be stopped. {@code asOfNanos} is on the monotonic clock.
         */
        void openJobsLoaded(long asOfNanos);

        /**
         * Called when the cluster state is complete. The listener must then watch job changes from {@code revision}.
         */
        void completed(long revision);
    }

    /** Creates a failover that reads {@code state} into {@code records} and the cluster state of {@code context}. */
    public Failover(LeaderContext context, StateClient state, RecordPages records) {
        this.loop = context.loop();
        this.scope = context.scope();
        this.state = state;
        this.warnings = context.warnings();
        this.clusterState = new ClusterStateBuilder(context, records);
    }

    /** Reads the open jobs first, then the finished tasks, the bindings and the cancelled jobs. */
    public void start(Listener progressListener) {
        listener = progressListener;
        long startedAtNanos = loop.nanos();
        list(StateKeys.OPEN_JOBS_PREFIX, openJobs -> {
            clusterState.addOpenJobs(openJobs);
            listener.openJobsLoaded(startedAtNanos);
            list(
                    StateKeys.FINISHED_TASKS_PREFIX,
                    finishedTasks -> list(StateKeys.BINDINGS_PREFIX, bindings -> {
                        clusterState.addFinishedTasks(finishedTasks);
                        addMachines(bindings, openJobs.revision());
                    }));
        });
    }

    private void addMachines(Listing bindings, long openJobsRevision) {
        List<ClusterStateBuilder.RecordedMachine> machines = clusterState.readMachines(bindings);
        readCancelledJobs(clusterState.jobsWithoutOpenEntry(machines), () -> {
            machines.forEach(clusterState::addMachine);
            clusterState.markCancellationsLearned();
            listener.completed(openJobsRevision);
        });
    }

    private void list(String prefix, Consumer<Listing> onListing) {
        list(prefix, loop.nanos(), onListing);
    }

    private void list(String prefix, long startedAtNanos, Consumer<Listing> onListing) {
        state.list(prefix, Priority.LEASE_RENEWAL, scope.guard(result -> {
            if (!result.isOk()) {
                warnings.warn("failover listing failed, retrying", "path=" + prefix);
                scope.after(RETRY_DELAY_NANOS, () -> list(prefix, startedAtNanos, onListing));
                return;
            }
            Listing listing = result.value();
            listener.stepCompleted(new FailoverStep.ListingRead(
                    prefix, listing.entries().size(), listing.bytes(), loop.nanos() - startedAtNanos));
            onListing.accept(listing);
        }));
    }

    private void readCancelledJobs(Set<String> jobIds, Runnable onComplete) {
        long startedAtNanos = loop.nanos();
        new CancelledJobsReader(scope, state, clusterState::addCancelledJob, () -> {
                    listener.stepCompleted(new FailoverStep.CancelledJobsRead(
                            jobIds.size(), clusterState.oldestCancellationAgeS(), loop.nanos() - startedAtNanos));
                    onComplete.run();
                })
                .read(jobIds);
    }
}
