package org.spruceridge.cluster;

import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** A machine as the leader of this term knows it. */
public final class Machine {
    /** A moment that has not come. */
    public static final long NEVER = Long.MAX_VALUE;

    private final String name;
    private final MachineKind kind;
    private final Map<TaskId, Binding> bindings = new LinkedHashMap<>();
    private final Set<String> failedJobs = new HashSet<>();
    private String address;
    private Resources used = Resources.NONE;
    private int replicas;
    private long incarnation;
    private long sequence;
    private long lowestIncarnation;
    private boolean fenced;
    private long lastHeartbeat;
    private long lastLeaseRenewal;
    private boolean hasReported;
    private long reclaimAt = Long.MAX_VALUE;
    private long knownSince;
    private boolean terminating;
    private boolean suspectedFaulty;
    private final Set<Long> unresolvedStarts = new HashSet<>();
    private boolean startUncertain;
    private long suspectedSince = NEVER;
    private long fencingTokenSentAt = NEVER;
    private long idleSince;
    private long lastPreemption = Long.MIN_VALUE;
    private long launchedAt;

    /** {@code answeredAt} is the last moment at which any entitled node can have answered a report of it. */
    public Machine(String name, String address, MachineKind kind, long now, long answeredAt) {
        this.name = name;
        this.address = address;
        this.kind = kind;
        this.knownSince = now;
        this.launchedAt = now;
        this.lastHeartbeat = now;
        this.lastLeaseRenewal = answeredAt;
        this.idleSince = now;
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

    /** True if the cloud may take it back. */
    public boolean spot() {
        return kind.spot();
    }

    /** All that is bound to it. */
    public Collection<Binding> bindings() {
        return bindings.values();
    }

    /** The binding of a task to this machine, or null. */
    public Binding binding(TaskId task) {
        return bindings.get(task);
    }

    void bind(Binding binding) {
        bindings.put(binding.task(), binding);
        replicas += binding.job().spec().isService() ? 1 : 0;
        used = used.plus(binding.job().spec().task());
    }

    void unbind(Binding binding, long now) {
        vacate(binding);
        if (bindings.remove(binding.task(), binding)) {
            replicas -= binding.job().spec().isService() ? 1 : 0;
        }
        if (bindings.isEmpty()) {
            idleSince = now;
            used = Resources.NONE; // no rounding stays behind
        }
    }

    /** The task is gone, and its room may be used at once; its record is still to be written. */
    void vacate(Binding binding) {
        if (!binding.gone()) {
            binding.goneNow();
            used = used.minus(binding.job().spec().task());
        }
    }

    /** How many of its bindings are of replicas of services. */
    public int replicas() {
        return replicas;
    }

    /** What all tasks take together that may be on the machine. */
    public Resources used() {
        return used;
    }

    /** The session of its worker that was heard last. */
    public long incarnation() {
        return incarnation;
    }

    /** True if (session, sequence) is newer than all that was heard, and not of a session known to be over. */
    public boolean isNews(long heartbeatIncarnation, long heartbeatSequence) {
        return heartbeatIncarnation >= lowestIncarnation
                && (heartbeatIncarnation > incarnation
                        || (heartbeatIncarnation == incarnation && heartbeatSequence > sequence));
    }

    /** It was up before this term, as its bindings tell: it is waited for like one that was heard. */
    public void expected() {
        hasReported = true;
    }

    /**
     * Takes note of a report, sent by itself or with the answer to a push. The latter says nothing about whether the
     * worker reaches a controller, on which its lease depends.
     */
    public void recordHeartbeat(
            long heartbeatIncarnation, long heartbeatSequence, String heartbeatAddress, boolean byItself, long now) {
        if (!hasReported) {
            idleSince = now;
        }
        if (heartbeatIncarnation > incarnation) {
            voidPushes();
            // The session began at some moment before now, and its lease with it. If the last answer to an earlier
            // session counted, tasks that were pushed to this one would be taken for gone while they run.
            lastLeaseRenewal = Math.max(lastLeaseRenewal, now);
            // Its lease ran out: perhaps our answers do not reach it. It has to show that something does.
            if (incarnation > 0 && suspectedSince == NEVER) {
                suspectedSince = now;
            }
        }
        incarnation = heartbeatIncarnation;
        sequence = heartbeatSequence;
        address = heartbeatAddress;
        if (byItself) {
            lastHeartbeat = now;
        }
        hasReported = true;
    }

    /** The lease of the session ran out: what it may still have sent changes nothing. */
    public void endIncarnation() {
        lowestIncarnation = incarnation + 1;
        fenced = false;
        fencingTokenSentAt = NEVER;
        voidPushes();
    }

    /** Attempts whose start was sent straight to the worker and may still be on its way. */
    public Set<Long> unresolvedStarts() {
        return unresolvedStarts;
    }

    /** A push of this session was not answered: a start may come late. */
    public boolean startUncertain() {
        return startUncertain;
    }

    /** Takes note that a direct start was not answered. */
    public void markStartUncertain() {
        startUncertain = true;
    }

    /** An order of ours was carried out or answered. */
    public void recordAcknowledgement() {
        suspectedSince = NEVER;
    }

    /** It is heard, but there is reason to think that nothing we say reaches it. */
    public boolean suspectedUnreachable() {
        return suspectedSince != NEVER;
    }

    /** Since when an order has been waiting for it, or its reach has been in doubt; {@link #NEVER} if neither. */
    public long unreachableSince() {
        long since = suspectedSince;
        for (Binding b : bindings.values()) {
            since = Math.min(since, b.commandSentAt());
        }
        return since;
    }

    /**
     * Nothing more is placed here: it is taken for faulty, about to be taken away, perhaps out of reach, or a late start
     * may come.
     */
    public boolean unschedulable() {
        return suspectedFaulty || reclaimAnnounced() || startUncertain || suspectedUnreachable();
    }

    private void voidPushes() {
        unresolvedStarts.clear();
        startUncertain = false;
    }

    /** True once a report carried this term's token: no older leader's answer counts there any more. */
    public boolean fenced() {
        return fenced;
    }

    /** Takes note that its worker showed this term's token. */
    public void fence() {
        fenced = true;
    }

    /** When it last sent a report that was news. */
    public long lastHeartbeat() {
        return lastHeartbeat;
    }

    /** True once its worker has reported, in this term or as its bindings tell. */
    public boolean hasReported() {
        return hasReported;
    }

    /** The last moment at which a lease of its worker can have begun anew. */
    public long lastLeaseRenewal() {
        return lastLeaseRenewal;
    }

    /** Its report is answered; {@code known} if it showed this term's token. */
    public void recordLeaseRenewal(long now, boolean known) {
        lastLeaseRenewal = now;
        fencingTokenSentAt = known ? NEVER : Math.min(fencingTokenSentAt, now);
    }

    /** A report of it was answered at this moment, before the failover made it known here. */
    public void leaseRenewedDuringFailover(long at) {
        lastLeaseRenewal = Math.max(lastLeaseRenewal, at);
    }

    /** When it was first handed this term's token that it has not shown since; {@link #NEVER} if it has. */
    public long fencingTokenSentAt() {
        return fencingTokenSentAt;
    }

    /** When the cloud will take the machine away; Long.MAX_VALUE if no notice was given. */
    public long reclaimAt() {
        return reclaimAt;
    }

    /** Takes note of when the cloud will take it away. */
    public void reclaimAt(long moment) {
        reclaimAt = moment;
    }

    /** True if the cloud has announced that it takes the machine away. */
    public boolean reclaimAnnounced() {
        return reclaimAt != Long.MAX_VALUE;
    }

    /** Since when this leader has known it, on the steady clock in nanoseconds. */
    public long knownSince() {
        return knownSince;
    }

    /** When it was rented, as far as is known. */
    public long launchedAt() {
        return launchedAt;
    }

    /** Corrects when it was rented. */
    public void launchedAt(long moment) {
        launchedAt = moment;
    }

    /** The machine is being given back: nothing is placed on it any more. */
    public boolean terminating() {
        return terminating;
    }

    /** Begins to give it back. */
    public void terminating(boolean value) {
        terminating = value;
    }

    /** Jobs that failed on this machine since a task last completed on it. */
    public Set<String> failedJobs() {
        return failedJobs;
    }

    /** Tasks of several jobs failed here. */
    public boolean suspectedFaulty() {
        return suspectedFaulty;
    }

    /** Begins or ceases to suspect it of failing the tasks that it is given. */
    public void suspectedFaulty(boolean value) {
        suspectedFaulty = value;
    }

    /** Since when it has had no binding. */
    public long idleSince() {
        return idleSince;
    }

    /** When a task was last stopped on it for another; {@code Long.MIN_VALUE} if never. */
    public long lastPreemption() {
        return lastPreemption;
    }

    /** Takes note that a task is stopped on it for another. */
    public void lastPreemption(long moment) {
        lastPreemption = moment;
    }
}
