package org.spruceridge.peer;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;

/**
 * The heartbeat that a node broadcasts to the other nodes once a second.
 *
 * <p>Nodes use the heartbeats for display and for the health check. A leader that workers cannot reach uses them to
 * decide whether to resign. The heartbeats let a leader stop the tasks of a cancelled job before the state service
 * reports the cancellation. All these uses tolerate lost and stale heartbeats.
 *
 * <p>The cluster feature level is raised only if a fresh heartbeat of every member announces support for the new level.
 * A missing heartbeat never raises the level.
 *
 * @param hostName the host name of the sender
 * @param stateServiceReachable whether the sender can reach the state service
 * @param receivesWorkerHeartbeats whether the sender has recently received heartbeats from workers
 * @param term the sender's term, 0 if it is not the leader
 * @param progress the progress of the open jobs by id; empty if the sender is not the leader
 * @param cancelledJobs ids of jobs whose cancellation the sender has recently confirmed to users
 * @param version the sender's software version and feature level
 */
public record PeerHeartbeat(
        String hostName,
        boolean stateServiceReachable,
        boolean receivesWorkerHeartbeats,
        long term,
        ImmutableMap<String, Progress> progress,
        ImmutableList<String> cancelledJobs,
        MemberVersion version) {
    /** The numbers of done and running tasks of a job. */
    public record Progress(int done, int running) {
        public static final Progress NONE = new Progress(0, 0);
    }
}
