package org.spruceridge.cluster;

import java.util.Collection;

/**
 * The state of a machine in the memory of this term's leader. Separate objects hold its heartbeat version, its worker
 * lease, signs of failure, direct commands, the reclaim notice, and the capacity in use. All times are nanoseconds on
 * the monotonic clock.
 */
public final class Machine {
    private final String name;
    private final MachineKind kind;
    private final long knownSince;
    private final HeartbeatVersion heartbeatVersion = new HeartbeatVersion();
    private final WorkerLease lease;
    private final FailureSuspicion suspicion = new FailureSuspicion();
    private final DirectCommands directCommands = new DirectCommands();
    private final SpotReclaim reclaim = new SpotReclaim();
    private final MachineAllocation allocation;
    private String address;
    private long launchedAt;
    private boolean reported;
    private boolean terminating;
    private long lastPreemption = EventTimes.NOT_HAPPENED;

    /** {@code leaseRenewedAt} is the latest time at which any leader can have answered a heartbeat of its worker. */
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

    /** The address at which its worker accepts direct commands; empty if unknown. */
    public String address() {
        return address;
    }

    /** Its type, zone, and whether it is a spot machine. */
    public MachineKind kind() {
        return kind;
    }

    /** The name of its type. */
    public String type() {
        return kind.type();
    }

    /** The name of its zone. */
    public String zone() {
        return kind.zone();
    }

    /** True if it is a spot machine, which the cloud may reclaim. */
    public boolean isSpot() {
        return kind.spot();
    }

    /** The version of the newest accepted heartbeat. */
    public HeartbeatVersion heartbeatVersion() {
        return heartbeatVersion;
    }

    /** The lease of its worker. */
    public WorkerLease lease() {
        return lease;
    }

    /** Signs that the machine is faulty. */
    public FailureSuspicion suspicion() {
        return suspicion;
    }

    /** Start commands that were sent directly to its worker and may still arrive. */
    public DirectCommands directCommands() {
        return directCommands;
    }

    /** The notice that the cloud is about to reclaim the machine, if there is one. */
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
    public int replicas() {
        return allocation.replicas();
    }

    /** The capacity used by all tasks that may be on the machine. */
    public Resources used() {
        return allocation.used();
    }

    /** When the machine last became idle; meaningful only while it has no bindings. */
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

    /** True once its worker has sent a heartbeat, in this term or, as its bindings show, in an earlier one. */
    public boolean hasReported() {
        return reported;
    }

    /** Records that its worker ran before this term, as its bindings show, so that heartbeats are expected from it. */
    public void expectHeartbeats() {
        reported = true;
    }

    /** Records a heartbeat that the worker sent periodically, not in response to a command. */
    public void recordHeartbeat(long heartbeatIncarnation, long heartbeatSequence, String heartbeatAddress, long now) {
        recordStatus(heartbeatIncarnation, heartbeatSequence, heartbeatAddress, now);
        lease.recordHeartbeat(now);
    }

    /**
     * Records the heartbeat in the result of a direct command. It does not show that the worker can reach a controller,
     * which its lease requires.
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
    }

    private void beginIncarnation(long now) {
        directCommands.clear();
        lease.beginIncarnation(now);
        if (heartbeatVersion.hasIncarnation()) {
            // The worker's previous lease expired, so responses may not reach it until it acknowledges a command.
            suspicion.suspect(now);
        }
    }

    /** Records that the lease of the current incarnation expired: its late heartbeats are ignored. */
    public void endIncarnation() {
        heartbeatVersion.endIncarnation();
        lease.endIncarnation();
        directCommands.clear();
    }

    /** True if a command has not been executed, or the machine is suspect. */
    public boolean awaitsAcknowledgement() {
        return EventTimes.hasHappened(unacknowledgedSince());
    }

    /**
     * When the oldest pending command was sent or the machine became suspect, whichever is earlier; meaningful only if
     * {@link #awaitsAcknowledgement()}.
     */
    public long unacknowledgedSince() {
        long since = suspicion.suspectSince();
        for (Binding binding : allocation.bindings()) {
            since = Math.min(since, binding.commandSentAt());
        }
        return since;
    }

    /**
     * True if no tasks are placed on it: it is cordoned, suspect or about to be reclaimed, or a late start may arrive.
     */
    public boolean isUnschedulable() {
        return suspicion.isCordoned()
                || reclaim.isAnnounced()
                || directCommands.hasUncertainStart()
                || suspicion.isSuspect();
    }

    /** When this leader learned of the machine. */
    public long knownSince() {
        return knownSince;
    }

    /** When the machine was launched; until that is known, when this leader learned of it. */
    public long launchedAt() {
        return launchedAt;
    }

    /** Corrects the launch time. */
    public void launchedAt(long launchedAtNanos) {
        launchedAt = launchedAtNanos;
    }

    /** True if deletion of the machine was requested: no more tasks are placed on it. */
    public boolean isTerminating() {
        return terminating;
    }

    /** Records that deletion of the machine is requested. */
    public void markTerminating() {
        terminating = true;
    }

    /** True once a task on it was preempted. */
    public boolean hasPreempted() {
        return EventTimes.hasHappened(lastPreemption);
    }

    /** When a task on it was last preempted; meaningful only if {@link #hasPreempted()}. */
    public long lastPreemption() {
        return lastPreemption;
    }

    /** Records that a task on it is preempted. */
    public void recordPreemption(long now) {
        lastPreemption = now;
    }
}
