package org.spruceridge.cluster;

/**
 * One task on one machine, from the proposal of the leader until there is proof that the task is not on the machine.
 * Whatever is counted over bindings therefore covers at least all tasks that run. All times are nanoseconds on the steady
 * clock.
 */
public final class Binding {
    /** The state of the record of a binding. */
    public enum Stage {
        /** Its transaction has not been committed: no start may be sent. */
        PROPOSED,
        /** Its transaction was committed: starts may be sent. */
        COMMITTED,
        /** There is proof that the task is gone; the record still contains the binding. */
        RELEASING,
        /** A heartbeat listed the task, but no record has it; it is being stopped, and counts until it is gone. */
        ORPHANED
    }

    /** Whether and how the task is to be stopped. */
    public enum StopMode {
        NONE,
        /** The task may save a checkpoint first. */
        CHECKPOINT,
        /** The task is killed, because its result is not needed. */
        IMMEDIATE
    }

    /** The state of the task in the last accepted heartbeat. */
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
    private final long boundAt;
    private Stage stage;
    private StopMode stopMode = StopMode.NONE;
    private Phase phase = Phase.ABSENT;
    private boolean startSent;
    private boolean stopSent;
    private boolean provenGone;
    private long commandSentAt = EventTimes.NOT_HAPPENED;
    private long runningSince;

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

    /** The number of the attempt, which increases over all terms. */
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

    /** When the binding was proposed. */
    public long boundAt() {
        return boundAt;
    }

    /** The state of the record. */
    public Stage stage() {
        return stage;
    }

    /** Advances the state of the record. */
    public void advanceTo(Stage next) {
        stage = next;
    }

    /** True if there is proof that the task is not on its machine, even if the record still contains the binding. */
    public boolean isProvenGone() {
        return provenGone;
    }

    void markProvenGone() {
        provenGone = true;
    }

    /** Whether and how the task is to be stopped; a task of a cancelled job always immediately. */
    public StopMode stopMode() {
        return job.isCancelled() ? StopMode.IMMEDIATE : stopMode;
    }

    /** Decides that the task is to be stopped. */
    public void requestStop(StopMode mode) {
        stopMode = mode;
    }

    /** True if the task can be expected to end: a replica of a service ends only when it is stopped. */
    public boolean isExpectedToEnd() {
        return !job.spec().isService() || stopMode() != StopMode.NONE;
    }

    /** The state of the task in the last accepted heartbeat. */
    public Phase phase() {
        return phase;
    }

    /** Records the state of the task in a heartbeat. A change shows that the worker carried out the pending command. */
    public void recordPhase(Phase reported, long now) {
        if (reported == Phase.RUNNING && phase != Phase.RUNNING) {
            runningSince = now;
        }
        if (reported != phase) {
            commandSentAt = EventTimes.NOT_HAPPENED;
        }
        phase = reported;
    }

    /** For how many seconds the task has been reported running; 0 if it is not. */
    public double elapsedS(long now) {
        return phase == Phase.RUNNING || phase == Phase.CHECKPOINTING ? (now - runningSince) / 1e9 : 0;
    }

    /** When the oldest pending command was sent; {@link EventTimes#NOT_HAPPENED} if no command is pending. */
    long commandSentAt() {
        return commandSentAt;
    }

    /** Records that a command for the task is sent; an earlier one that is still pending keeps its time. */
    public void recordCommandSent(long now) {
        commandSentAt = Math.min(commandSentAt, now);
    }

    /** True once a start was sent directly to the worker. */
    public boolean isStartSent() {
        return startSent;
    }

    /** Records that a start is sent directly to the worker; this is done once at most. */
    public void recordStartSent() {
        startSent = true;
    }

    /** True if a stop was sent directly to the worker and need not be sent again. */
    public boolean isStopSent() {
        return stopSent;
    }

    /** Records that a stop is sent directly to the worker. */
    public void recordStopSent() {
        stopSent = true;
    }

    /** Records that the direct stop was not answered, so that it has to be sent again. */
    public void recordStopUnanswered() {
        stopSent = false;
    }

    @Override
    public String toString() {
        return task + "#" + attempt + "@" + machine.name();
    }
}
