package org.spruceridge.cluster;

/**
 * The assignment of one task to one machine. A binding exists from the time at which the leader proposes it until there
 * is proof that the task is not on the machine. Therefore a sum over all bindings covers at least all running tasks.
 * All times are nanoseconds on the monotonic clock.
 */
public final class Binding {
    /** The state of a binding in the stored records. */
    public enum Stage {
        /** The transaction that records the binding is not committed yet: sending a start command is not allowed. */
        PROPOSED,
        /** The transaction that records the binding is committed: sending a start command is allowed. */
        COMMITTED,
        /** The task is proven not to be on the machine, but the stored records still contain the binding. */
        RELEASING,
        /**
         * A heartbeat listed a task that no record contains. The leader stops the task. The task uses capacity until it
         * is gone.
         */
        ORPHANED
    }

    /** Whether and how the task is to be stopped. */
    public enum StopMode {
        NONE,
        /** The worker allows the task to save a checkpoint before it ends. */
        CHECKPOINT,
        /** The worker kills the task without a checkpoint, because the result is not needed. */
        IMMEDIATE
    }

    /** The state of the task as reported by the last accepted heartbeat. */
    public enum Phase {
        ABSENT,
        FETCHING,
        RUNNING,
        CHECKPOINTING,
        ENDED
    }

    private final TaskId task;
    private final long attempt;
    private final Machine machine;
    private final Job job;
    private final long createdAt;
    private Stage stage;
    private StopMode stopMode = StopMode.NONE;
    private Phase phase = Phase.ABSENT;
    private boolean startSent;
    private boolean stopSent;
    private boolean provenGone;
    private long commandSentAt = EventTimes.NOT_HAPPENED;
    private long runningSince;

    /** Creates a binding at time {@code now}. */
    public Binding(Job job, int index, long attempt, Machine machine, Stage stage, long now) {
        this.task = new TaskId(job.id(), index);
        this.job = job;
        this.attempt = attempt;
        this.machine = machine;
        this.stage = stage;
        this.createdAt = now;
    }

    /** The bound task. */
    public TaskId task() {
        return task;
    }

    /** The number of this attempt to run the task. Attempt numbers keep increasing when a new term begins. */
    public long attempt() {
        return attempt;
    }

    /** The machine to which the task is bound. */
    public Machine machine() {
        return machine;
    }

    /** The job of the task. */
    public Job job() {
        return job;
    }

    /** The time at which this binding was created. */
    public long createdAt() {
        return createdAt;
    }

    /** The state of this binding in the stored records. */
    public Stage stage() {
        return stage;
    }

    /** Advances the state of this binding in the stored records. */
    public void advanceTo(Stage next) {
        stage = next;
    }

    /** True if the task is proven not to be on its machine, even if the stored records still contain the binding. */
    public boolean isProvenGone() {
        return provenGone;
    }

    void markProvenGone() {
        provenGone = true;
    }

    /** Whether and how the task is to be stopped. Tasks of a cancelled job are always stopped immediately. */
    public StopMode stopMode() {
        return job.isCancelled() ? StopMode.IMMEDIATE : stopMode;
    }

    /** Requests that the leader stop the task in the given way. */
    public void requestStop(StopMode mode) {
        stopMode = mode;
    }

    /** True if the task is expected to end. A replica of a service ends only when it is stopped. */
    public boolean isExpectedToEnd() {
        return !job.spec().isService() || stopMode() != StopMode.NONE;
    }

    /** The state of the task as reported by the last accepted heartbeat. */
    public Phase phase() {
        return phase;
    }

    /** Records the reported state of the task. A changed state shows that the worker executed the pending command. */
    public void recordPhase(Phase reported, long now) {
        if (reported == Phase.RUNNING && phase != Phase.RUNNING) {
            runningSince = now;
        }
        if (reported != phase) {
            commandSentAt = EventTimes.NOT_HAPPENED;
        }
        phase = reported;
    }

    /** The time in seconds since the task was first reported as running; 0 if the task is not running. */
    public double runTimeS(long now) {
        return phase == Phase.RUNNING || phase == Phase.CHECKPOINTING ? (now - runningSince) / 1e9 : 0;
    }

    /** The time at which the oldest pending command was sent; {@link EventTimes#NOT_HAPPENED} if none is pending. */
    long commandSentAt() {
        return commandSentAt;
    }

    /** Records that a command for the task is sent. Keeps the send time of an earlier command that is still pending. */
    public void recordCommandSent(long now) {
        commandSentAt = Math.min(commandSentAt, now);
    }

    /** True once a start command has been sent directly to the worker. */
    public boolean isStartSent() {
        return startSent;
    }

    /** Records that a start command is sent directly to the worker. Callers send it at most once per binding. */
    public void recordStartSent() {
        startSent = true;
    }

    /** True if a stop command was sent directly to the worker and the sender need not send it again. */
    public boolean isStopSent() {
        return stopSent;
    }

    /** Records that a stop command is sent directly to the worker. */
    public void recordStopSent() {
        stopSent = true;
    }

    /** Records that the worker did not respond to the direct stop command. The command is then sent again. */
    public void recordStopUnanswered() {
        stopSent = false;
    }

    @Override
    public String toString() {
        return task + "#" + attempt + "@" + machine.name();
    }
}
