package org.spruceridge.failover;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.spruceridge.cluster.Binding;
import org.spruceridge.cluster.Cluster;
import org.spruceridge.cluster.Job;
import org.spruceridge.cluster.Machine;
import org.spruceridge.net.BadMessageException;
import org.spruceridge.net.CancellationScope;
import org.spruceridge.net.Durations;
import org.spruceridge.net.Loop;
import org.spruceridge.net.RateLimitedWarnings;
import org.spruceridge.net.RateLimiter.Priority;
import org.spruceridge.persistence.PageIndex;
import org.spruceridge.persistence.RecordPages;
import org.spruceridge.record.BindingsRecord;
import org.spruceridge.record.FinishedTasksRecord;
import org.spruceridge.record.JobRecord;
import org.spruceridge.record.StateKeys;
import org.spruceridge.state.Entry;
import org.spruceridge.state.Listing;
import org.spruceridge.state.StateClient;
import org.spruceridge.state.StateResult;
import org.spruceridge.term.LeaderContext;
import org.spruceridge.term.LeaderTerm;

/**
 * Builds the cluster state of a new term from the records. All reads are sent after the election, so no older leader can
 * change what they find: only users' submissions and cancellations can, and those the watch brings.
 */
public final class Failover {
    private static final long RETRY = Durations.millis(200);
    /** Ended jobs are read so many at a time: enough for a slow state service, few enough to let renewals in. */
    private static final int MOST_READ_AT_ONCE = 16;

    private final Loop loop;
    private final CancellationScope scope;
    private final StateClient state;
    private final Cluster cluster;
    private final RecordPages records;
    private final LeaderTerm term;
    private final RateLimitedWarnings warnings;
    private final List<Job> endedJobs = new ArrayList<>();
    private Listener listener;

    /** A part of the failover that is done: what it brought, and the nanoseconds that it took. */
    public record Step(String what, long nanos) {}

    /** Hears how far the failover has come. */
    public interface Listener {
        /** Something was read. */
        default void stepCompleted(Step step) {}

        /** The open jobs are known as of this moment: a task of any other job has no business on a machine. */
        void openJobsLoaded(long asOfNanos);

        /** All is known; changes of jobs have to be followed from this revision on. */
        void completed(long revision);
    }

    private record Recorded(PageIndex.Page<Machine> page, BindingsRecord.MachineBindings record) {}

    /** Fills {@code cluster} and {@code records} with what {@code state} holds. */
    public Failover(LeaderContext context, StateClient state, RecordPages records) {
        this.loop = context.loop();
        this.scope = context.scope();
        this.state = state;
        this.cluster = context.cluster();
        this.records = records;
        this.term = context.term();
        this.warnings = context.warnings();
    }

    /** Reads everything, the open jobs first. */
    public void start(Listener hears) {
        listener = hears;
        long asked = loop.nanos();
        list(StateKeys.OPEN_JOBS_PREFIX, open -> {
            addJobs(open);
            listener.openJobsLoaded(asked);
            list(
                    StateKeys.FINISHED_TASKS_PREFIX,
                    finished -> list(StateKeys.BINDINGS_PREFIX, machines -> {
                        addFinished(finished);
                        List<Recorded> recorded = readMachines(machines);
                        readEnded(recorded, () -> {
                            recorded.forEach(this::addMachine);
                            // Only from now on can reports prove the stops.
                            endedJobs.forEach(job -> job.cancel(job.cancelledAt(), loop.nanos()));
                            listener.completed(open.revision());
                        });
                    }));
        });
    }

    private void list(String prefix, Consumer<Listing> next) {
        list(prefix, loop.nanos(), next);
    }

    private void list(String prefix, long since, Consumer<Listing> next) {
        state.list(prefix, Priority.LEASE_RENEWAL, scope.guard(result -> {
            if (result.isOk()) {
                Listing listing = result.value();
                listener.stepCompleted(new Step(
                        listing.entries().size() + " entries under " + prefix + ", " + listing.bytes() + " bytes",
                        loop.nanos() - since));
                next.accept(listing);
            } else {
                warnings.warn("failover: a listing failed and is asked for again", prefix);
                scope.after(RETRY, () -> list(prefix, since, next));
            }
        }));
    }

    private void addJobs(Listing open) {
        for (Entry e : open.entries()) {
            try {
                JobRecord record = JobRecord.read(e.value());
                cluster.add(new Job(record.spec(), e.modRevision(), record.submittedMs()));
            } catch (BadMessageException bad) {
                warnings.warn("unreadable job record", e.key() + ": " + bad.getMessage());
            }
        }
    }

    private void addFinished(Listing finished) {
        for (Entry e : finished.entries()) {
            try {
                PageIndex.Page<RecordPages.TaskChunk> page = records.finished().restorePage(e.key(), e.modRevision());
                for (FinishedTasksRecord.Chunk chunk : FinishedTasksRecord.read(e.value(), records.baseChunkSize())) {
                    Job job = cluster.job(chunk.job());
                    if (job != null) { // else it has ended, and the next write of the page leaves it out
                        records.restoreFinished(job, chunk.first(), chunk.tasks(), page);
                    }
                }
            } catch (BadMessageException bad) {
                warnings.warn("unreadable record of finished tasks", bad.getMessage());
            }
        }
    }

    private List<Recorded> readMachines(Listing pages) {
        List<Recorded> out = new ArrayList<>();
        for (Entry e : pages.entries()) {
            PageIndex.Page<Machine> page = records.bindings().restorePage(e.key(), e.modRevision());
            try {
                BindingsRecord.read(e.value()).forEach(m -> out.add(new Recorded(page, m)));
            } catch (BadMessageException bad) {
                warnings.warn("unreadable record of bindings", e.key() + ": " + bad.getMessage());
            }
        }
        return out;
    }

    /** Reads the records of jobs that have ended while tasks of theirs are still bound, several at a time. */
    private void readEnded(List<Recorded> recorded, Runnable next) {
        Set<String> ended = new TreeSet<>();
        for (Recorded r : recorded) {
            for (BindingsRecord.BoundTask b : r.record().bound()) {
                if (cluster.job(b.task().job()) == null) {
                    ended.add(b.task().job());
                }
            }
        }
        long since = loop.nanos();
        new EndedJobs(ended, () -> {
            double oldestS = endedJobs.stream()
                    .mapToDouble(job -> Durations.secondsSince(job.cancelledAt(), loop.nanos()))
                    .max()
                    .orElse(0);
            listener.stepCompleted(new Step(
                    ended.size() + " cancelled jobs with bound tasks, the oldest cancelled " + oldestS + " s ago",
                    loop.nanos() - since));
            next.run();
        });
    }

    /** The records of ended jobs that are still to be read. */
    private final class EndedJobs {
        private final Deque<String> unread;
        private final Runnable next;
        private int beingRead;

        EndedJobs(Set<String> ids, Runnable next) {
            this.unread = new ArrayDeque<>(ids);
            this.next = next;
            readOn();
        }

        private void readOn() {
            while (!unread.isEmpty() && beingRead < MOST_READ_AT_ONCE) {
                beingRead++;
                read(unread.remove());
            }
            if (beingRead == 0) {
                next.run();
            }
        }

        private void read(String id) {
            state.get(StateKeys.job(id), Priority.LEASE_RENEWAL, scope.guard(result -> {
                if (result.outcome() == StateResult.Outcome.UNAVAILABLE) {
                    scope.after(RETRY, () -> read(id));
                    return;
                }
                if (result.isOk()) {
                    addEnded(id, result.value());
                }
                beingRead--;
                readOn();
            }));
        }
    }

    /**
     * A job whose open entry is gone while tasks are bound was cancelled. It is so from the moment at which it is known
     * here, for workers are answered by then. What is left of its time is not begun anew with each leader.
     */
    private void addEnded(String id, Entry entry) {
        try {
            JobRecord record = JobRecord.read(entry.value());
            long agoMs = Math.max(0, loop.wallMillis() - record.endedMs());
            Job job = new Job(record.spec(), entry.modRevision(), record.submittedMs());
            job.cancel(loop.nanos() - Durations.millis(agoMs), loop.nanos());
            endedJobs.add(job);
            cluster.add(job);
        } catch (BadMessageException bad) {
            warnings.warn("unreadable job record", id + ": " + bad.getMessage());
        }
    }

    private void addMachine(Recorded r) {
        BindingsRecord.MachineBindings record = r.record();
        Machine machine = cluster.machine(record.name());
        if (machine == null) {
            // Any node entitled before this term can have answered it until the election.
            machine = new Machine(record.name(), "", record.kind(), loop.nanos(), term.electedAtNanos());
            machine.expectHeartbeats();
            cluster.add(machine);
        }
        records.bindings().assign(machine, r.page());
        for (BindingsRecord.BoundTask b : record.bound()) {
            Job job = cluster.job(b.task().job());
            if (job == null || b.task().index() >= job.spec().tasks()) {
                warnings.warn("binding of an unknown task", b.task() + " on " + record.name());
                continue;
            }
            cluster.bind(
                    new Binding(job, b.task().index(), b.attempt(), machine, Binding.Stage.COMMITTED, loop.nanos()));
        }
    }
}
