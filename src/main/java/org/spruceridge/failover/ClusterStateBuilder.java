package org.spruceridge.failover;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.spruceridge.cluster.Binding;
import org.spruceridge.cluster.Cluster;
import org.spruceridge.cluster.Job;
import org.spruceridge.cluster.Machine;
import org.spruceridge.net.BadMessageException;
import org.spruceridge.net.Durations;
import org.spruceridge.net.Loop;
import org.spruceridge.net.RateLimitedWarnings;
import org.spruceridge.persistence.PageIndex;
import org.spruceridge.persistence.RecordPages;
import org.spruceridge.record.BindingsRecord;
import org.spruceridge.record.FinishedTasksRecord;
import org.spruceridge.record.JobRecord;
import org.spruceridge.state.Entry;
import org.spruceridge.state.Listing;
import org.spruceridge.term.LeaderContext;
import org.spruceridge.term.LeaderTerm;

/**
 * Converts stored records to the jobs, machines and bindings of a new term. Logs a warning for a record that cannot be
 * parsed and skips the record.
 */
final class ClusterStateBuilder {
    private final Loop loop;
    private final Cluster cluster;
    private final RecordPages records;
    private final LeaderTerm term;
    private final RateLimitedWarnings warnings;
    private final List<Job> cancelledJobs = new ArrayList<>();

    /** The recorded bindings of one machine and the page that contains them. */
    record RecordedMachine(PageIndex.Page<Machine> page, BindingsRecord.MachineBindings record) {}

    ClusterStateBuilder(LeaderContext context, RecordPages records) {
        this.loop = context.loop();
        this.cluster = context.cluster();
        this.records = records;
        this.term = context.term();
        this.warnings = context.warnings();
    }

    void addOpenJobs(Listing openJobs) {
        for (Entry entry : openJobs.entries()) {
            try {
                JobRecord record = JobRecord.read(entry.value());
                cluster.add(new Job(record.spec(), entry.modRevision(), record.submittedMs()));
            } catch (BadMessageException e) {
                warnings.warn("unreadable job record", "path=" + entry.key() + " reason=" + e.getMessage());
            }
        }
    }

    void addFinishedTasks(Listing finishedTasks) {
        for (Entry entry : finishedTasks.entries()) {
            try {
                addFinishedTasks(entry);
            } catch (BadMessageException e) {
                warnings.warn("unreadable record of finished tasks", "reason=" + e.getMessage());
            }
        }
    }

    private void addFinishedTasks(Entry entry) throws BadMessageException {
        PageIndex.Page<RecordPages.TaskChunk> page =
                records.finishedTasks().restorePage(entry.key(), entry.modRevision());
        for (FinishedTasksRecord.Chunk chunk : FinishedTasksRecord.read(entry.value(), records.baseChunkSize())) {
            Job job = cluster.job(chunk.job());
            if (job != null) { // otherwise the job has ended, and the next write of the page omits the chunk
                records.restoreFinishedTasks(job, chunk.firstTaskIndex(), chunk.tasks(), page);
            }
        }
    }

    List<RecordedMachine> readMachines(Listing bindings) {
        List<RecordedMachine> machines = new ArrayList<>();
        for (Entry entry : bindings.entries()) {
            PageIndex.Page<Machine> page = records.bindings().restorePage(entry.key(), entry.modRevision());
            try {
                BindingsRecord.read(entry.value()).forEach(machine -> machines.add(new RecordedMachine(page, machine)));
            } catch (BadMessageException e) {
                warnings.warn("unreadable record of bindings", "path=" + entry.key() + " reason=" + e.getMessage());
            }
        }
        return machines;
    }

    /** The ids of the jobs that have bound tasks but no open entry, in sorted order. */
    Set<String> jobsWithoutOpenEntry(List<RecordedMachine> machines) {
        Set<String> jobIds = new TreeSet<>();
        for (RecordedMachine machine : machines) {
            for (BindingsRecord.BoundTask boundTask : machine.record().tasks()) {
                if (cluster.job(boundTask.task().job()) == null) {
                    jobIds.add(boundTask.task().job());
                }
            }
        }
        return jobIds;
    }

    /**
     * Adds a job that has bound tasks but no open entry, which means that the job was cancelled. The cancellation time
     * comes from the record. Otherwise, each failover would extend the time limit for stopping the tasks of the job.
     */
    void addCancelledJob(String jobId, Entry entry) {
        try {
            JobRecord record = JobRecord.read(entry.value());
            long ageMs = Math.max(0, loop.wallMillis() - record.endedMs());
            Job job = new Job(record.spec(), entry.modRevision(), record.submittedMs());
            job.cancel(loop.nanos() - Durations.millis((double) ageMs), loop.nanos());
            cancelledJobs.add(job);
            cluster.add(job);
        } catch (BadMessageException e) {
            warnings.warn("unreadable job record", "job=" + jobId + " reason=" + e.getMessage());
        }
    }

    /** The time since the earliest cancellation among the added cancelled jobs, in seconds; 0 if there are none. */
    double oldestCancellationAgeS() {
        return cancelledJobs.stream()
                .mapToDouble(job -> Durations.secondsSince(job.cancelledAt(), loop.nanos()))
                .max()
                .orElse(0);
    }

    /** Adds the machine unless it is already known, and adds its bindings. */
    void addMachine(RecordedMachine recorded) {
        BindingsRecord.MachineBindings record = recorded.record();
        Machine machine = cluster.machine(record.name());
        if (machine == null) {
            // A previous leader can have renewed the lease of this machine until the election.
            machine = new Machine(record.name(), "", record.kind(), loop.nanos(), term.electedAtNanos());
            machine.markReported();
            cluster.add(machine);
        }
        records.bindings().assign(machine, recorded.page());
        for (BindingsRecord.BoundTask boundTask : record.tasks()) {
            bind(machine, boundTask);
        }
    }

    private void bind(Machine machine, BindingsRecord.BoundTask boundTask) {
        int index = boundTask.task().index();
        Job job = cluster.job(boundTask.task().job());
        if (job == null || index >= job.spec().taskCount()) {
            warnings.warn("binding of an unknown task", "task=" + boundTask.task() + " machine=" + machine.name());
            return;
        }
        cluster.bind(new Binding(job, index, boundTask.attempt(), machine, Binding.Stage.COMMITTED, loop.nanos()));
    }

    /**
     * Sets the time at which this leader learned of the cancellations to the current time. A heartbeat can prove that
     * the tasks of a cancelled job have stopped only after all bindings are known.
     */
    void markCancellationsLearned() {
        for (Job job : cancelledJobs) {
            job.cancel(job.cancelledAt(), loop.nanos());
        }
    }
}
