package org.spruceridge.cluster;

/**
 * One task on one machine, from the moment the leader proposes it until proof that the task is not there. Whatever is
 * counted over bindings is counted over a superset of what really runs.
 */
public final class Binding {
    /** How far the record of this binding has come. */
    public enum Stage {
        /** Its transaction has not been committed: no start may be sent. */
        PROPOSED,
        /** On record: starts may be sent. */
        COMMITTED,
        /** Proof that the task is gone was seen; the record still holds the binding. */
        RELEASING,
        /** Seen in a report without a record; halted, and counted until it is gone. */
        ORPHANED
    }

    /** Why the task is to be stopped, if it is. */
    public enum StopMode {
        NONE,
        /** Let it save if it can. */
        CHECKPOINT,
        /** At once: nobody has any use for what it does. */
        IMMEDIATE
    }

    private final TaskId task;
    private final long attempt;
    private final Machine machine;
    private final Job job;
    private Stage stage;
    private StopMode stopMode = StopMode.NONE;
    private Phase phase = Phase.ABSENT;
    private boolean pushed;
    private boolean stopPushed;
    private boolean gone;
    private long commandSentAt = EventTimes.NOT_HAPPENED;
    private long runningSince;
    private final long boundAt;

    /** Where the worker's last authoritative report had the task. */
    public enum Phase {
        ABSENT,
        FETCHING,
        RUNNING,
        CHECKPOINTING,
        ENDED
    }

    /** A binding that begins at {@code now}, on the steady clock in nanoseconds. */
    public Binding(Job job, int index, long attempt, Machine machine, Stage stage, long now) {
        this.task = new TaskId(job.id(), index);
        this.job = job;
        this.attempt = attempt;
        this.machine = machine;
        this.stage = stage;
        this.boundAt = now;
    }

    /** The task that is bound. */
    public TaskId task() {
        return task;
    }

    /** The number of the attempt, which grows over all terms. */
    public long attempt() {
        return attempt;
    }

    /** The machine that the task is bound to. */
    public Machine machine() {
        return machine;
    }

    /** The job of the task. */
    public Job job() {
        return job;
    }

    /** How far the record of this binding has come. */
    public Stage stage() {
        return stage;
    }

    /** Moves on to the next stage of the record. */
    public void stage(Stage next) {
        stage = next;
    }

    /** There is proof that the task is not on its machine, though the record may still say so. */
    public boolean gone() {
        return gone;
    }

    void goneNow() {
        gone = true;
    }

    /** Whether and how the task is to be stopped; that of a cancelled job always at once. */
    public StopMode stopMode() {
        return job.cancelled() ? StopMode.IMMEDIATE : stopMode;
    }

    /** Decides that the task is to be stopped. */
    public void stopMode(StopMode why) {
        stopMode = why;
    }

    /** True if it can be expected to end: a replica of a service does so only when it is stopped. */
    public boolean ends() {
        return !job.spec().isService() || stopMode() != StopMode.NONE;
    }

    /** Where the last authoritative report had the task. */
    public Phase phase() {
        return phase;
    }

    /** Takes over what a report said of the task. */
    public void phase(Phase seen, long now) {
        if (seen == Phase.RUNNING && phase != Phase.RUNNING) {
            runningSince = now;
        }
        if (seen != phase) {
            commandSentAt = EventTimes.NOT_HAPPENED;
        }
        phase = seen;
    }

    /** Seconds that the task has been seen running. */
    public double elapsedS(long now) {
        return phase == Phase.RUNNING || phase == Phase.CHECKPOINTING ? (now - runningSince) / 1e9 : 0;
    }

    /** Since when the worker has had an order for this task that it has not carried out. */
    public long commandSentAt() {
        return commandSentAt;
    }

    /** An order is on its way; the first that is not carried out counts. */
    public void commandSent(long now) {
        commandSentAt = Math.min(commandSentAt, now);
    }

    /** A start was sent straight to the worker. */
    public boolean pushed() {
        return pushed;
    }

    /** A stop was sent straight to the worker. */
    public boolean stopPushed() {
        return stopPushed;
    }

    /** Takes note that a stop was sent directly, or that it has to be sent again. */
    public void stopPushed(boolean value) {
        stopPushed = value;
    }

    /** A start is sent straight to the worker, once at the most. */
    public void startPushed() {
        pushed = true;
    }

    /** When the binding was proposed, on the steady clock in nanoseconds. */
    public long boundAt() {
        return boundAt;
    }

    @Override
    public String toString() {
        return task + "#" + attempt + "@" + machine.name();
    }
}
