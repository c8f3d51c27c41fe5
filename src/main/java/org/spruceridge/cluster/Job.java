package org.spruceridge.cluster;

import java.util.BitSet;
import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import org.agrona.collections.Int2ObjectHashMap;

/** A job that is open, or an ended job that still has bindings. */
public final class Job {
    /** The number of machines on which tasks of a job must fail before the job itself is considered the cause. */
    private static final int FAILED_MACHINES_BEFORE_BACKOFF = 3;

    private final JobSpec spec;
    private final long modRevision;
    private final long submittedMs;
    private final BitSet done = new BitSet();
    private final BitSet doneOrBound = new BitSet();
    private final Int2ObjectHashMap<Binding> bindings = new Int2ObjectHashMap<>();
    private final Set<String> failedMachines = new HashSet<>();
    private boolean failed;
    private double longestFailedRunS;
    private long cancelledAt = EventTimes.NOT_HAPPENED;
    private long cancellationLearnedAt = EventTimes.NOT_HAPPENED;
    private long retryAfter = Long.MIN_VALUE;
    private long incompleteSince = EventTimes.NOT_HAPPENED;
    private int earlyExits;
    private long lastEarlyExit = Long.MIN_VALUE / 2;

    /** Creates a job without bindings; {@code modRevision} is the revision of its record and of its open entry. */
    public Job(JobSpec spec, long modRevision, long submittedMs) {
        this.spec = spec;
        this.modRevision = modRevision;
        this.submittedMs = submittedMs;
    }

    /** The id that the user chose. */
    public String id() {
        return spec.id();
    }

    /** The job as the user submitted it. */
    public JobSpec spec() {
        return spec;
    }

    /** The revision at which the job's record and its open entry were written, in one transaction. */
    public long modRevision() {
        return modRevision;
    }

    /** The time at which the job was accepted, in milliseconds since the epoch. */
    public long submittedMs() {
        return submittedMs;
    }

    /** True once a user has cancelled the job. */
    public boolean isCancelled() {
        return EventTimes.hasHappened(cancelledAt);
    }

    /**
     * Records that the job was cancelled at {@code earliestCancelledAt} or later and that this leader learned of it at
     * {@code now}.
     */
    public void cancel(long earliestCancelledAt, long now) {
        cancelledAt = Math.min(earliestCancelledAt, now);
        cancellationLearnedAt = now;
    }

    /** The earliest time at which a node can have confirmed the cancellation to a user. */
    public long cancelledAt() {
        return cancelledAt;
    }

    /**
     * The time at which this leader learned of the cancellation. The leader cannot have sent stop commands for the
     * cancellation before that time.
     */
    public long cancellationLearnedAt() {
        return cancellationLearnedAt;
    }

    /** The indexes of the tasks whose completion has been recorded. */
    public BitSet done() {
        return done;
    }

    /** The number of tasks whose completion has been recorded. */
    public int doneCount() {
        return done.cardinality();
    }

    /** Marks a task as completed. Callers do so once the completion has been recorded. */
    public void markDone(int index) {
        done.set(index);
        doneOrBound.set(index);
    }

    /** True if the completion of this task has been recorded. */
    public boolean isDone(int index) {
        return done.get(index);
    }

    /** All bindings of this job's tasks. */
    public Collection<Binding> bindings() {
        return bindings.values();
    }

    /** The binding of a task, or null. */
    public Binding binding(int index) {
        return bindings.get(index);
    }

    void bind(Binding binding) {
        bindings.put(binding.task().index(), binding);
        doneOrBound.set(binding.task().index());
    }

    void unbind(Binding binding, long now) {
        int index = binding.task().index();
        if (bindings.get(index) == binding) {
            bindings.remove(index);
            if (waitingCount() == 0) {
                incompleteSince = now;
            }
            if (!done.get(index)) {
                doneOrBound.clear(index);
            }
        }
    }

    /** The number of tasks that are neither done nor bound; 0 if the job is cancelled. */
    public int waitingCount() {
        return isCancelled() ? 0 : spec.taskCount() - doneOrBound.cardinality();
    }

    /**
     * The index of the first task, starting at {@code fromIndex}, that is neither done nor bound; -1 if there is none.
     */
    public int nextWaiting(int fromIndex) {
        int next = doneOrBound.nextClearBit(fromIndex);
        return next < spec.taskCount() ? next : -1;
    }

    /** True if any task is bound or has completed. */
    public boolean hasStarted() {
        return !bindings.isEmpty() || !done.isEmpty();
    }

    /** True if all tasks were placed at some time in this term and a task has lost its placement since then. */
    public boolean isIncompleteAgain() {
        return EventTimes.hasHappened(incompleteSince);
    }

    /**
     * The time at which a task last lost its placement while all tasks of the job were placed, in monotonic
     * nanoseconds. The value is meaningful only if {@link #isIncompleteAgain()} is true.
     */
    public long incompleteSince() {
        return incompleteSince;
    }

    /** The number of consecutive early exits, see {@link #countEarlyExit}. */
    public int earlyExits() {
        return earlyExits;
    }

    /**
     * Counts an early exit: a replica exited soon after its start without being stopped. The count restarts at 1 if the
     * previous early exit is older than {@code memoryNanos}.
     */
    public void countEarlyExit(long now, long memoryNanos) {
        earlyExits = now - lastEarlyExit > memoryNanos ? 1 : earlyExits + 1;
        lastEarlyExit = now;
    }

    /** Resets the count of early exits. Called if a replica has run for a long time. */
    public void resetEarlyExits() {
        earlyExits = 0;
    }

    /** The number of tasks that the latest heartbeats reported as running. */
    public int runningCount() {
        int count = 0;
        for (Binding binding : bindings.values()) {
            if (binding.phase() == Binding.Phase.RUNNING || binding.phase() == Binding.Phase.CHECKPOINTING) {
                count++;
            }
        }
        return count;
    }

    /**
     * The names of the machines on which tasks of this job have failed since a task of the job last completed or ran for
     * longer than those that failed. Callers clear the set directly.
     */
    public Set<String> failedMachines() {
        return failedMachines;
    }

    /** Records that a task of this job failed on a machine, after it was seen running for {@code runS} seconds. */
    public void recordFailure(Machine machine, double runS) {
        failed = true;
        failedMachines.add(machine.name());
        longestFailedRunS = Math.max(longestFailedRunS, runS);
    }

    /** True if a task of this job has failed in this term. */
    public boolean hasFailed() {
        return failed;
    }

    /** The longest time for which a task of this job was seen running before it failed, in seconds. */
    public double longestFailedRunS() {
        return longestFailedRunS;
    }

    /** True if a task of this job has been running for at least {@code runS} seconds. */
    public boolean hasTaskRunningFor(double runS, long now) {
        for (Binding binding : bindings.values()) {
            if (binding.phase() == Binding.Phase.RUNNING && binding.runTimeS(now) >= runS) {
                return true;
            }
        }
        return false;
    }

    /**
     * True if tasks of this job failed on several machines. The job is then the likely cause of the failures. For a
     * service with running replicas, the machines are the likely cause instead, and the result is false.
     */
    public boolean failsOnManyMachines() {
        return failedMachines.size() >= FAILED_MACHINES_BEFORE_BACKOFF && !(spec.isService() && runningCount() > 0);
    }

    /** The time before which no task of the job is placed, because tasks failed; in monotonic nanoseconds. */
    public long retryAfter() {
        return retryAfter;
    }

    /** Sets the time before which no task of the job is placed, in monotonic nanoseconds. */
    public void retryAfter(long retryAfterNanos) {
        retryAfter = retryAfterNanos;
    }

    /** Makes the tasks of the job placeable again at once. */
    public void endRetryDelay() {
        retryAfter = Long.MIN_VALUE;
    }

    /** The deadline in milliseconds since the epoch; infinite if the job has no deadline or is a service. */
    public double deadlineMs() {
        return spec.deadlineS().isPresent() && !spec.isService()
                ? submittedMs + spec.deadlineS().getAsDouble() * 1000
                : Double.POSITIVE_INFINITY;
    }
}
