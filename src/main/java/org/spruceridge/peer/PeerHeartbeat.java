package org.spruceridge.peer;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;

/**
 * The heartbeat that a node broadcasts to the other nodes once a second.
 *
 * <p>It is used for display, for the health check, by a leader that workers cannot reach, and to stop the tasks of a
 * cancelled job before the state service reports the cancellation. These uses tolerate lost and stale heartbeats. One use
 * needs fresh ones: the cluster feature level is raised once every member has announced its support. A missing heartbeat
 * never causes that.
 *
 * @param hostName the sender
 * @param stateServiceReachable whether the state service answers the sender
 * @param receivesWorkerHeartbeats whether workers have lately sent heartbeats to the sender
 * @param term the sender's term, 0 if it is not the leader
 * @param progress the progress of the open jobs by id; empty if the sender is not the leader
 * @param cancelled ids of jobs whose cancellation the sender has lately confirmed to users
 * @param version the sender's program version and feature level
 */
public record PeerHeartbeat(
        String hostName,
        boolean stateServiceReachable,
        boolean receivesWorkerHeartbeats,
        long term,
        ImmutableMap<String, Progress> progress,
        ImmutableList<String> cancelled,
        MemberVersion version) {
    /** How many tasks of a job are done and how many run. */
    public record Progress(int done, int running) {
        public static final Progress NONE = new Progress(0, 0);
    }
}
