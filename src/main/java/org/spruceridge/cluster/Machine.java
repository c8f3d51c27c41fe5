package org.spruceridge.cluster;

import java.util.Collection;

/**
 * The state of a machine in the memory of this term's leader. Separate objects hold the heartbeat version, the worker
 * lease, the fencing token, signs of failure, failed tasks, start commands, the reclaim notice, and the bindings with
 * the used capacity. All times are nanoseconds on the monotonic clock.
 */
public final class Machine {
    private final String name;
    private final MachineKind kind;
    private final long knownSince;
    private final HeartbeatVersion heartbeatVersion = new HeartbeatVersion();
    private final WorkerLease lease;
    private final WorkerFencing fencing = new WorkerFencing();
    private final FailureSuspicion suspicion = new FailureSuspicion();
    private final TaskFailures taskFailures = new TaskFailures();
    private final StartCommands startCommands = new StartCommands();
    private final SpotReclaim reclaim = new SpotReclaim();
    private final MachineAllocation allocation;
    private String address;
    private long launchedAt;
    private boolean reported;
    private boolean terminating;
    private long lastPreemption = EventTimes.NOT_HAPPENED;
    private long lastStatus = EventTimes.NOT_HAPPENED;

    /**
     * Creates a machine without bindings. {@code leaseRenewedAt} is the latest time at which any leader can have
     * answered a heartbeat of the machine's worker.
     */
    public Machine(String name, String address, MachineKind kind, long now, long leaseRenewedAt) {
        this.name = name;
        this.address = address;
        this.kind = kind;
        this.knownSince = now;
        this.launchedAt = now;
        this.lease = new WorkerLease(now, leaseRenewedAt);
        this.allocation = new MachineAllocation(now);
    }

    /** The name that the cloud assigned. */
    public String name() {
        return name;
    }

    /** The address at which the machine's worker accepts direct commands; an empty string if it is unknown. */
    public String address() {
        return address;
    }

    /** The type and the zone of the machine, and whether it is a spot machine. */
    public MachineKind kind() {
        return kind;
    }

    /** The name of the machine type. */
    public String type() {
        return kind.type();
    }

    /** The name of the zone. */
    public String zone() {
        return kind.zone();
    }

    /** True if this is a spot machine, which the cloud can reclaim. */
    public boolean isSpot() {
        return kind.spot();
    }

    /** The version of the newest accepted heartbeat. */
    public HeartbeatVersion heartbeatVersion() {
        return heartbeatVersion;
    }

    /** The lease of the machine's worker. */
    public WorkerLease lease() {
        return lease;
    }

    /** The fencing token of the machine's worker. */
    public WorkerFencing fencing() {
        return fencing;
    }

    /** Signs that commands do not reach the machine's worker. */
    public FailureSuspicion suspicion() {
        return suspicion;
    }

    /** The failures of tasks on the machine, and whether it is cordoned because of them. */
    public TaskFailures taskFailures() {
        return taskFailures;
    }

    /** Start commands that were sent to the machine's worker and can still be executed. */
    public StartCommands startCommands() {
        return startCommands;
    }

    /** The notice that the cloud is about to reclaim the machine; not announced if there is none. */
    public SpotReclaim reclaim() {
        return reclaim;
    }

    /** All bindings to this machine. */
    public Collection<Binding> bindings() {
        return allocation.bindings();
    }

    /** The binding of a task to this machine, or null. */
    public Binding binding(TaskId task) {
        return allocation.binding(task);
    }

    /** The number of bindings that are service replicas. */
    public int replicaCount() {
        return allocation.replicaCount();
    }

    /** The capacity used by all tasks that are not proven to be gone from the machine. */
    public Resources used() {
        return allocation.used();
    }

    /** The time at which the machine last became idle; meaningful only while the machine has no bindings. */
    public long idleSince() {
        return allocation.idleSince();
    }

    void bind(Binding binding) {
        allocation.bind(binding);
    }

    void unbind(Binding binding, long now) {
        allocation.unbind(binding, now);
    }

    /** Frees the capacity of a task that is gone, before its release has been recorded. */
    void releaseCapacity(Binding binding) {
        allocation.releaseCapacity(binding);
    }

    /** The incarnation of the newest accepted heartbeat. */
    public long incarnation() {
        return heartbeatVersion.incarnation();
    }

    /** True once the machine's worker has sent a heartbeat, either in this term or, as bindings show, before. */
    public boolean hasReported() {
        return reported;
    }

    /**
     * Records that the machine's worker sent a heartbeat before this term. Called if recorded bindings show that the
     * worker ran before this term.
     */
    public void markReported() {
        reported = true;
    }

    /** Records a periodic heartbeat of the worker, as opposed to the heartbeat in the result of a direct command. */
    public void recordHeartbeat(long heartbeatIncarnation, long heartbeatSequence, String heartbeatAddress, long now) {
        recordStatus(heartbeatIncarnation, heartbeatSequence, heartbeatAddress, now);
        startCommands.recordHeartbeat();
        lease.recordHeartbeat(now);
    }

    /**
     * Records the heartbeat in the result of a direct command. Such a heartbeat does not show that the worker can reach
     * a controller, which is required for the worker's lease.
     */
    public void recordStatus(long heartbeatIncarnation, long heartbeatSequence, String heartbeatAddress, long now) {
        if (!reported) {
            allocation.restartIdleTime(now);
        }
        if (heartbeatVersion.isNewIncarnation(heartbeatIncarnation)) {
            beginIncarnation(now);
        }
        heartbeatVersion.accept(heartbeatIncarnation, heartbeatSequence);
        address = heartbeatAddress;
        reported = true;
        lastStatus = now;
    }

    /** True if the list of the machine's tasks was received at {@code sinceNanos} or later, in this term. */
    public boolean hasSentStatusSince(long sinceNanos) {
        return EventTimes.hasHappened(lastStatus) && lastStatus >= sinceNanos;
    }

    private void beginIncarnation(long now) {
        startCommands.clear();
        lease.beginIncarnation(now);
        if (heartbeatVersion.hasIncarnation()) {
            // The worker's previous lease expired. Responses possibly do not reach the worker, so the machine is
            // suspect until the worker acknowledges a command.
            suspicion.suspect(now);
        }
    }

    /** Records that the lease of the current incarnation expired. Late heartbeats of the incarnation are ignored. */
    public void endIncarnation() {
        heartbeatVersion.endIncarnation();
        fencing.endIncarnation();
        startCommands.clear();
    }

    /** True if the worker has not executed a pending command, or if the machine is suspect. */
    public boolean awaitsAcknowledgement() {
        return EventTimes.hasHappened(unacknowledgedSince());
    }

    /**
     * The earlier of two times: when the oldest pending command was sent, and when the machine became suspect.
     * Meaningful only if {@link #awaitsAcknowledgement()} is true.
     */
    public long unacknowledgedSince() {
        long since = suspicion.suspectSince();
        for (Binding binding : allocation.bindings()) {
            since = Math.min(since, binding.commandSentAt());
        }
        return since;
    }

    /**
     * The earlier of two times: since when the machine has not acknowledged a command, and since when a start command
     * has been uncertain. Meaningful only if the machine is suspect or a start is uncertain.
     */
    public long unansweredSince() {
        return Math.min(unacknowledgedSince(), startCommands.uncertainSince());
    }

    /**
     * True if tasks must not be placed on the machine: it is cordoned, suspect or about to be reclaimed, or a start
     * command that got no response can still arrive.
     */
    public boolean isUnschedulable() {
        return taskFailures.isCordoned() || isBlocked();
    }

    /** True if tasks must not be placed on the machine for any reason other than a cordon. */
    public boolean isBlocked() {
        return reclaim.isAnnounced() || startCommands.hasUncertainStart() || suspicion.isSuspect();
    }

    /** The time at which this leader learned of the machine. */
    public long knownSince() {
        return knownSince;
    }

    /** The launch time of the machine; while it is unknown, the time at which this leader learned of the machine. */
    public long launchedAt() {
        return launchedAt;
    }

    /** Sets the launch time after a launch request or a cloud listing has shown it. */
    public void launchedAt(long launchedAtNanos) {
        launchedAt = launchedAtNanos;
    }

    /** True if the deletion of the machine was requested. No more tasks are placed on such a machine. */
    public boolean isTerminating() {
        return terminating;
    }

    /** Records that the deletion of the machine is requested. */
    public void markTerminating() {
        terminating = true;
    }

    /** True once a task on the machine has been preempted in this term. */
    public boolean hasPreempted() {
        return EventTimes.hasHappened(lastPreemption);
    }

    /** The time of the last preemption of a task on the machine; meaningful only if {@link #hasPreempted()} is true. */
    public long lastPreemption() {
        return lastPreemption;
    }

    /** Records that a task on the machine is preempted. */
    public void recordPreemption(long now) {
        lastPreemption = now;
    }
}
