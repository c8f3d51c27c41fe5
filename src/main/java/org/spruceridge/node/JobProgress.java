package org.spruceridge.node;

import java.util.Optional;
import java.util.function.Consumer;
import org.spruceridge.election.Election;
import org.spruceridge.leader.Leader;
import org.spruceridge.peer.PeerMonitor;
import org.spruceridge.progress.Progress;
import org.spruceridge.progress.ProgressSource;

/**
 * Finds the progress of open jobs: in the cluster state while this node leads, otherwise in the leader's recent peer
 * heartbeats, otherwise in the report that the leader publishes in the state service. Without a leader, the progress is
 * unknown until no task can run any more.
 */
final class JobProgress implements ProgressSource {
    private final Election election;
    private final CurrentLeader currentLeader;
    private final PeerMonitor peers;
    private final LeaderAbsence leaderAbsence;
    private final PublishedProgress published;

    JobProgress(
            Election election,
            CurrentLeader currentLeader,
            PeerMonitor peers,
            LeaderAbsence leaderAbsence,
            PublishedProgress published) {
        this.election = election;
        this.leaderAbsence = leaderAbsence;
        this.currentLeader = currentLeader;
        this.peers = peers;
        this.published = published;
    }

    @Override
    public void find(String jobId, Consumer<Optional<Progress>> onResult) {
        // A leader whose lease has possibly expired does not know what a new leader has done since.
        Optional<Leader> leader = currentLeader.get().filter(current -> election.isLeader());
        if (leader.isPresent()) {
            onResult.accept(leader.get().progressOf(jobId));
            return;
        }
        Optional<Progress> received = peers.progress(jobId);
        if (received.isPresent()) {
            onResult.accept(received);
        } else if (leaderAbsence.provesThatNoTaskRuns()) {
            onResult.accept(Optional.of(Progress.NONE));
        } else {
            published.find(jobId, onResult);
        }
    }
}
