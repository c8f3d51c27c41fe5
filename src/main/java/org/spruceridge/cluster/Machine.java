package org.spruceridge.cluster;

import java.util.Collection;

/**
 * A machine as the leader of this term knows it. Its parts hold one concern each: the order of its heartbeats, its lease,
 * what speaks against it, direct commands, the reclaim notice, and the capacity in use. All times are nanoseconds on the
 * steady clock.
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

    /** {@code leaseRenewedAt} is the latest time at which any leader can have answered a heartbeat of it. */
    public Machine(String name, String address, MachineKind kind, long now, long leaseRenewedAt) {
        this.name = name;
        this.address = address;
        this.kind = kind;
        this.knownSince = now;
        this.launchedAt = now;
        this.lease = new WorkerLease(now, leaseRenewedAt);
        this.allocation = new MachineAllocation(now);
    }

    /** The name that the cloud gave it. */
    public String name() {
        return name;
    }

    /** Where its worker takes direct commands; empty if not known. */
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

    /** The zone that it is in. */
    public String zone() {
        return kind.zone();
    }

    /** True if the cloud may reclaim it. */
    public boolean isSpot() {
        return kind.spot();
    }

    /** The newest heartbeat that was accepted. */
    public HeartbeatVersion heartbeatVersion() {
        return heartbeatVersion;
    }

    /** The lease of its worker. */
    public WorkerLease lease() {
        return lease;
    }

    /** What speaks against it. */
    public FailureSuspicion suspicion() {
        return suspicion;
    }

    /** The start commands that were sent directly to its worker. */
    public DirectCommands directCommands() {
        return directCommands;
    }

    /** The notice that the cloud reclaims it. */
    public SpotReclaim reclaim() {
        return reclaim;
    }

    /** All that is bound to it. */
    public Collection<Binding> bindings() {
        return allocation.bindings();
    }

    /** The binding of a task to this machine, or null. */
    public Binding binding(TaskId task) {
        return allocation.binding(task);
    }

    /** How many of its bindings are of replicas of services. */
    public int replicas() {
        return allocation.replicas();
    }

    /** What all tasks take together that may be on the machine. */
    public Resources used() {
        return allocation.used();
    }

    /** Since when it has had no binding. */
    public long idleSince() {
        return allocation.idleSince();
    }

    void bind(Binding binding) {
        allocation.bind(binding);
    }

    void unbind(Binding binding, long now) {
        allocation.unbind(binding, now);
    }

    /** Frees the capacity of a task that is gone, while its record is still to be written. */
    void releaseCapacity(Binding binding) {
        allocation.releaseCapacity(binding);
    }

    /** The incarnation of the newest heartbeat. */
    public long incarnation() {
        return heartbeatVersion.incarnation();
    }

    /** True once its worker has sent a heartbeat, in this term or earlier, as its bindings show. */
    public boolean hasReported() {
        return reported;
    }

    /** Records that its worker ran before this term, as its bindings show, so that its heartbeats are expected. */
    public void expectHeartbeats() {
        reported = true;
    }

    /** Records a heartbeat that the worker sent by itself. */
    public void recordHeartbeat(long heartbeatIncarnation, long heartbeatSequence, String heartbeatAddress, long now) {
        recordStatus(heartbeatIncarnation, heartbeatSequence, heartbeatAddress, now);
        lease.recordHeartbeat(now);
    }

    /**
     * Records the heartbeat that came with the result of a direct command. It does not show whether the worker reaches a
     * controller, on which its lease depends.
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
            // Its previous lease expired: answers may not reach it, until it acknowledges a command.
            suspicion.suspect(now);
        }
    }

    /** The lease of the present incarnation expired: heartbeats that it may still have sent are ignored. */
    public void endIncarnation() {
        heartbeatVersion.endIncarnation();
        lease.endIncarnation();
        directCommands.clear();
    }

    /** True if a command has not been carried out, or the machine is suspect. */
    public boolean awaitsAcknowledgement() {
        return EventTimes.hasHappened(unacknowledgedSince());
    }

    /**
     * Since when a command has not been carried out, or the machine has been suspect; meaningful only if {@link
     * #awaitsAcknowledgement()}.
     */
    public long unacknowledgedSince() {
        long since = suspicion.suspectSince();
        for (Binding binding : allocation.bindings()) {
            since = Math.min(since, binding.commandSentAt());
        }
        return since;
    }

    /** True if it gets no more tasks: it is cordoned, about to be reclaimed or suspect, or a late start may arrive. */
    public boolean isUnschedulable() {
        return suspicion.isCordoned()
                || reclaim.isAnnounced()
                || directCommands.hasUncertainStart()
                || suspicion.isSuspect();
    }

    /** Since when this leader has known it. */
    public long knownSince() {
        return knownSince;
    }

    /** When it was launched, as far as is known. */
    public long launchedAt() {
        return launchedAt;
    }

    /** Corrects when it was launched. */
    public void launchedAt(long launchedAtNanos) {
        launchedAt = launchedAtNanos;
    }

    /** True if its deletion was requested: it gets no more tasks. */
    public boolean isTerminating() {
        return terminating;
    }

    /** Records that its deletion is requested. */
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
