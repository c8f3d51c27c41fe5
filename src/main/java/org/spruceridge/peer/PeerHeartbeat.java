package org.spruceridge.peer;

import com.google.common.collect.ImmutableList;
import org.spruceridge.progress.ProgressReport;

/**
 * The heartbeat that a node broadcasts to the other nodes once a second.
 *
 * <p>Nodes use the heartbeats to tell users the progress of jobs, and for the health check. A leader that workers
 * cannot reach uses them to decide whether to resign. The heartbeats let a leader stop the tasks of a cancelled job
 * before the state service reports the cancellation. All these uses tolerate lost and stale heartbeats. Progress is
 * used only while it is recent, see {@link org.spruceridge.progress.ProgressFreshness} and {@link
 * org.spruceridge.progress.LeaderClock}.
 *
 * <p>The cluster feature level is raised only if a fresh heartbeat of every member announces support for the new level.
 * A missing heartbeat never raises the level.
 *
 * @param hostName the host name of the sender
 * @param stateServiceReachable whether the sender can reach the state service
 * @param receivesWorkerHeartbeats whether the sender has recently received heartbeats from workers
 * @param term the sender's term, 0 if it is not the leader
 * @param progress the progress of the open jobs; an empty report if the sender is not the leader
 * @param cancelledJobs ids of jobs whose cancellation the sender has recently confirmed to users
 * @param version the sender's software version and feature level
 * @param sentAtNanos when the heartbeat was sent, on the sender's monotonic clock; {@link #NOT_STAMPED} if the sender's
 *     version does not announce it
 * @param receipts what the sender has received from its peers
 */
public record PeerHeartbeat(
        String hostName,
        boolean stateServiceReachable,
        boolean receivesWorkerHeartbeats,
        long term,
        ProgressReport progress,
        ImmutableList<String> cancelledJobs,
        MemberVersion version,
        long sentAtNanos,
        PeerReceipts receipts) {
    /** The time of a heartbeat whose sender announces none. */
    public static final long NOT_STAMPED = Long.MIN_VALUE;
}
