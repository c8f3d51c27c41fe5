package org.spruceridge.cluster;

import java.util.BitSet;
import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import org.agrona.collections.Int2ObjectHashMap;

/** A job that is unfinished, or has ended while tasks of it may still be on machines. */
public final class Job {
    /** Machines that a job must fail on before the fault is taken to be its own. */
    private static final int MACHINES_TO_DOUBT = 3;

    private final JobSpec spec;
    private final long modRevision;
    private final long submittedMs;
    private final BitSet done = new BitSet();
    private final BitSet taken = new BitSet();
    private final Int2ObjectHashMap<Binding> bindings = new Int2ObjectHashMap<>();
    private final Set<String> faultyOn = new HashSet<>();
    private long cancelledAt = EventTimes.NOT_HAPPENED;
    private long cancellationHeardAt = EventTimes.NOT_HAPPENED;
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
    public boolean cancelled() {
        return EventTimes.hasHappened(cancelledAt);
    }

    /** Takes note that it was cancelled, at {@code earliest} or later, and that this is known since {@code now}. */
    public void cancel(long earliest, long now) {
        cancelledAt = Math.min(earliest, now);
        cancellationHeardAt = now;
    }

    /** The earliest moment at which a user can have been told that it is cancelled. */
    public long cancelledAt() {
        return cancelledAt;
    }

    /** Since when its stops can have been ordered. */
    public long cancellationHeardAt() {
        return cancellationHeardAt;
    }

    /** Tasks whose end is on record. */
    public BitSet done() {
        return done;
    }

    /** How many tasks have ended on record. */
    public int doneCount() {
        return done.cardinality();
    }

    /** Takes note that the end of a task is on record. */
    public void markDone(int index) {
        done.set(index);
        taken.set(index);
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
        taken.set(binding.task().index());
    }

    void unbind(Binding binding, long now) {
        int index = binding.task().index();
        if (bindings.get(index) == binding) {
            bindings.remove(index);
            if (waiting() == 0) {
                incompleteSince = now;
            }
            if (!done.get(index)) {
                taken.clear(index);
            }
        }
    }

    /** Tasks that are neither done nor bound. */
    public int waiting() {
        return cancelled() ? 0 : spec.tasks() - taken.cardinality();
    }

    /** The first task from {@code from} on that is neither done nor bound, or -1. */
    public int nextWaiting(int from) {
        int next = taken.nextClearBit(from);
        return next < spec.tasks() ? next : -1;
    }

    /** True once a task of it has been bound that was not given up since, or has completed. */
    public boolean begun() {
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

    /** Replicas that ended by themselves, each soon after its start, since one last ran for long. */
    public int earlyExits() {
        return earlyExits;
    }

    /** Counts a replica that ended by itself soon after its start; what is older than {@code memory} is forgotten. */
    public void countEarlyExit(long now, long memory) {
        earlyExits = now - lastEarlyExit > memory ? 1 : earlyExits + 1;
        lastEarlyExit = now;
    }

    /** A replica has run for long: what went wrong before says nothing about the job. */
    public void provenToRun() {
        earlyExits = 0;
        faultyOn.clear();
    }

    /** Tasks that a report showed running. */
    public int running() {
        int n = 0;
        for (Binding b : bindings.values()) {
            if (b.phase() == Binding.Phase.RUNNING || b.phase() == Binding.Phase.CHECKPOINTING) {
                n++;
            }
        }
        return n;
    }

    /** Machines on which a task of this job failed since one last completed. */
    public Set<String> faultyOn() {
        return faultyOn;
    }

    /**
     * Its tasks fail on one machine after another: likely it was submitted with a mistake. Not so a service of which other
     * replicas run: then it is the machines.
     */
    public boolean suspectedFaulty() {
        return faultyOn.size() >= MACHINES_TO_DOUBT && !(spec.isService() && running() > 0);
    }

    /** No task of the job is placed before this moment, after errors. */
    public long retryAfter() {
        return retryAfter;
    }

    /** Places no task of the job before this moment. */
    public void retryAfter(long moment) {
        retryAfter = moment;
    }

    /** The moment, in milliseconds of the epoch, at which the job should be complete; infinite if it need not be. */
    public double deadlineMs() {
        return spec.deadlineS().isPresent() && !spec.isService()
                ? submittedMs + spec.deadlineS().getAsDouble() * 1000
                : Double.POSITIVE_INFINITY;
    }
}
