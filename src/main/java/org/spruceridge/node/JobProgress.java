package org.spruceridge.node;

import java.util.Optional;
import org.spruceridge.cluster.Job;
import org.spruceridge.leader.Leader;
import org.spruceridge.peer.PeerHeartbeat.Progress;
import org.spruceridge.peer.PeerMonitor;

/** The progress of open jobs: from the cluster state while this node leads, otherwise from the leader's heartbeats. */
final class JobProgress {
    private final CurrentLeader currentLeader;
    private final PeerMonitor peers;

    JobProgress(CurrentLeader currentLeader, PeerMonitor peers) {
        this.currentLeader = currentLeader;
        this.peers = peers;
    }

    Progress of(String id) {
        Optional<Leader> leader = currentLeader.get();
        if (leader.isEmpty()) {
            return peers.progress(id);
        }
        Job job = leader.get().cluster().job(id);
        return job == null ? Progress.NONE : PeerHeartbeatSource.progress(job);
    }
}
