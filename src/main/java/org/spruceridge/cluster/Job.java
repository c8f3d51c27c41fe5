package org.spruceridge.cluster;

import java.util.BitSet;
import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import org.agrona.collections.Int2ObjectHashMap;

/** A job that is open, or that has ended while tasks of it may still be on machines. */
public final class Job {
    /** How many machines a job must fail on until the job is considered the cause. */
    private static final int FAILED_MACHINES_BEFORE_BACKOFF = 3;

    private final JobSpec spec;
    private final long modRevision;
    private final long submittedMs;
    private final BitSet done = new BitSet();
    private final BitSet doneOrBound = new BitSet();
    private final Int2ObjectHashMap<Binding> bindings = new Int2ObjectHashMap<>();
    private final Set<String> failedMachines = new HashSet<>();
    private long cancelledAt = EventTimes.NOT_HAPPENED;
    private long cancellationLearnedAt = EventTimes.NOT_HAPPENED;
    private long retryAfter = Long.MIN_VALUE;
    private long incompleteSince = EventTimes.NOT_HAPPENED;
    private int earlyExits;
    private long lastEarlyExit = Long.MIN_VALUE / 2;

    /** {@code modRevision} is that of the job's record and of its open entry, which are written together. */
    public Job(JobSpec spec, long modRevision, long submittedMs) {
        this.spec = spec;
        this.modRevision = modRevision;
        this.submittedMs = submittedMs;
    }

    /** The id that the user chose. */
    public String id() {
        return spec.id();
    }

    /** What the user submitted. */
    public JobSpec spec() {
        return spec;
    }

    /** The revision at which the record and the open entry of the job were written. */
    public long modRevision() {
        return modRevision;
    }

    /** When it was accepted, in milliseconds of the epoch. */
    public long submittedMs() {
        return submittedMs;
    }

    /** True once a user has cancelled it. */
    public boolean isCancelled() {
        return EventTimes.hasHappened(cancelledAt);
    }

    /** Records that it was cancelled at {@code earliest} or later, and that this leader learned of it at {@code now}. */
    public void cancel(long earliest, long now) {
        cancelledAt = Math.min(earliest, now);
        cancellationLearnedAt = now;
    }

    /** The earliest time at which a user can have been told that it is cancelled. */
    public long cancelledAt() {
        return cancelledAt;
    }

    /** When this leader learned of the cancellation: stops can have been sent since then. */
    public long cancellationLearnedAt() {
        return cancellationLearnedAt;
    }

    /** Tasks whose end is on record. */
    public BitSet done() {
        return done;
    }

    /** How many tasks have ended on record. */
    public int doneCount() {
        return done.cardinality();
    }

    /** Records that the end of a task is on record. */
    public void markDone(int index) {
        done.set(index);
        doneOrBound.set(index);
    }

    /** True if the end of this task is on record. */
    public boolean isDone(int index) {
        return done.get(index);
    }

    /** All bindings of its tasks. */
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
            if (waiting() == 0) {
                incompleteSince = now;
            }
            if (!done.get(index)) {
                doneOrBound.clear(index);
            }
        }
    }

    /** Tasks that are neither done nor bound. */
    public int waiting() {
        return isCancelled() ? 0 : spec.tasks() - doneOrBound.cardinality();
    }

    /** The first task from {@code from} on that is neither done nor bound, or -1. */
    public int nextWaiting(int from) {
        int next = doneOrBound.nextClearBit(from);
        return next < spec.tasks() ? next : -1;
    }

    /** True if a task of it is bound or has completed. */
    public boolean hasStarted() {
        return !bindings.isEmpty() || !done.isEmpty();
    }

    /** True if all tasks were placed in this term, and one or more of them have been missing since. */
    public boolean isIncompleteAgain() {
        return EventTimes.hasHappened(incompleteSince);
    }

    /**
     * Since when a task of it has been missing after all had been placed, on the steady clock in nanoseconds; meaningful
     * only if {@link #isIncompleteAgain()}.
     */
    public long incompleteSince() {
        return incompleteSince;
    }

    /** How many replicas in a row ended by themselves soon after their start. */
    public int earlyExits() {
        return earlyExits;
    }

    /**
     * Counts a replica that ended by itself soon after its start. The count restarts if the last such end is longer ago
     * than {@code memoryNanos}.
     */
    public void countEarlyExit(long now, long memoryNanos) {
        earlyExits = now - lastEarlyExit > memoryNanos ? 1 : earlyExits + 1;
        lastEarlyExit = now;
    }

    /** Records that a replica has run for a long time: earlier failures no longer count against the job. */
    public void recordStableRun() {
        earlyExits = 0;
        failedMachines.clear();
    }

    /** How many tasks the last heartbeats showed running. */
    public int running() {
        int count = 0;
        for (Binding binding : bindings.values()) {
            if (binding.phase() == Binding.Phase.RUNNING || binding.phase() == Binding.Phase.CHECKPOINTING) {
                count++;
            }
        }
        return count;
    }

    /** The names of the machines on which a task of this job failed since one last completed. */
    public Set<String> failedMachines() {
        return failedMachines;
    }

    /**
     * True if its tasks fail on one machine after another, so that the job is the likely cause. A service with running
     * replicas is not: then the machines are the likely cause.
     */
    public boolean failsOnManyMachines() {
        return failedMachines.size() >= FAILED_MACHINES_BEFORE_BACKOFF && !(spec.isService() && running() > 0);
    }

    /** Before this time no task of the job is placed, after failures. */
    public long retryAfter() {
        return retryAfter;
    }

    /** Sets the time before which no task of the job is placed. */
    public void retryAfter(long retryAfterNanos) {
        retryAfter = retryAfterNanos;
    }

    /** The deadline in milliseconds of the epoch; infinite if there is none. */
    public double deadlineMs() {
        return spec.deadlineS().isPresent() && !spec.isService()
                ? submittedMs + spec.deadlineS().getAsDouble() * 1000
                : Double.POSITIVE_INFINITY;
    }
}
