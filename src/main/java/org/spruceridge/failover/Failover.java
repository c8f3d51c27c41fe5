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
 * Rebuilds the cluster state of a new term from the records. All reads are sent after the election, so an older leader
 * can no longer change what they return. Only users' submissions and cancellations can; the job watch brings those.
 */
public final class Failover {
    /** The time until a read that failed is sent again. */
    static final long RETRY_DELAY_NANOS = Durations.millis(200);

    private final Loop loop;
    private final CancellationScope scope;
    private final StateClient state;
    private final RateLimitedWarnings warnings;
    private final ClusterStateBuilder clusterState;
    private Listener listener;

    /** Is told of the progress of a failover. */
    public interface Listener {
        /** A part is complete. */
        default void stepCompleted(FailoverStep step) {}

        /** All jobs that were open at this moment are in the cluster state. A task of any other job is to be stopped. */
        void openJobsLoaded(long asOfNanos);

        /** The cluster state is complete. Changes of jobs are to be watched from this revision on. */
        void completed(long revision);
    }

    /** Fills the cluster state of {@code context}, and {@code records}, with what {@code state} holds. */
    public Failover(LeaderContext context, StateClient state, RecordPages records) {
        this.loop = context.loop();
        this.scope = context.scope();
        this.state = state;
        this.warnings = context.warnings();
        this.clusterState = new ClusterStateBuilder(context, records);
    }

    /** Reads all records, the open jobs first. */
    public void start(Listener progressListener) {
        listener = progressListener;
        long startedAtNanos = loop.nanos();
        list(StateKeys.OPEN_JOBS_PREFIX, openJobs -> {
            clusterState.addOpenJobs(openJobs);
            listener.openJobsLoaded(startedAtNanos);
            list(
                    StateKeys.FINISHED_TASKS_PREFIX,
                    finished -> list(StateKeys.BINDINGS_PREFIX, bindings -> {
                        clusterState.addFinishedTasks(finished);
                        addMachines(bindings, openJobs.revision());
                    }));
        });
    }

    private void addMachines(Listing bindings, long openJobsRevision) {
        List<ClusterStateBuilder.RecordedMachine> machines = clusterState.readMachines(bindings);
        readCancelledJobs(clusterState.jobsWithoutOpenEntry(machines), () -> {
            machines.forEach(clusterState::addMachine);
            clusterState.markCancellationsKnown();
            listener.completed(openJobsRevision);
        });
    }

    private void list(String prefix, Consumer<Listing> done) {
        list(prefix, loop.nanos(), done);
    }

    private void list(String prefix, long startedAtNanos, Consumer<Listing> done) {
        state.list(prefix, Priority.LEASE_RENEWAL, scope.guard(result -> {
            if (!result.isOk()) {
                warnings.warn("failover listing failed, retrying", "path=" + prefix);
                scope.after(RETRY_DELAY_NANOS, () -> list(prefix, startedAtNanos, done));
                return;
            }
            Listing listing = result.value();
            listener.stepCompleted(new FailoverStep.ListingRead(
                    prefix, listing.entries().size(), listing.bytes(), loop.nanos() - startedAtNanos));
            done.accept(listing);
        }));
    }

    private void readCancelledJobs(Set<String> ids, Runnable done) {
        long startedAtNanos = loop.nanos();
        new CancelledJobsReader(scope, state, clusterState::addCancelledJob, () -> {
                    listener.stepCompleted(new FailoverStep.CancelledJobsRead(
                            ids.size(), clusterState.oldestCancellationAgeS(), loop.nanos() - startedAtNanos));
                    done.run();
                })
                .read(ids);
    }
}
