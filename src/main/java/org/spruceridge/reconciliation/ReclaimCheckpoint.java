package org.spruceridge.reconciliation;

import org.spruceridge.cluster.Binding;
import org.spruceridge.cluster.JobSpec;
import org.spruceridge.cluster.SpotReclaim;
import org.spruceridge.config.Settings;
import org.spruceridge.net.Durations;

/** Stops tasks on machines that the cloud is about to reclaim, early enough for a checkpoint. */
final class ReclaimCheckpoint {
    /** Twice the maximum delay until the next heartbeat. The maximum delay is 1.25 heartbeat intervals. */
    private static final double STOP_LEAD_HEARTBEAT_INTERVALS = 2.5;

    private static final double STOP_LEAD_CHECKPOINT_DURATIONS = 1.5;

    private final Settings.Workers workers;

    ReclaimCheckpoint(Settings.Workers workers) {
        this.workers = workers;
    }

    /**
     * Requests the stop of a task on a machine with a reclaim notice, if a later stop could leave too little time for
     * the task's checkpoint.
     */
    void requestIfDue(Binding binding, long now) {
        SpotReclaim reclaim = binding.machine().reclaim();
        if (!isPresent(binding) || !reclaim.isAnnounced() || binding.stopMode() != Binding.StopMode.NONE) {
            return;
        }
        double remainingS = Durations.seconds(reclaim.reclaimAt() - now);
        if (remainingS <= stopLeadTimeS(binding.job().spec())) {
            binding.requestStop(Binding.StopMode.CHECKPOINT);
        }
    }

    private static boolean isPresent(Binding binding) {
        return binding.phase() == Binding.Phase.RUNNING || binding.phase() == Binding.Phase.FETCHING;
    }

    private double stopLeadTimeS(JobSpec spec) {
        double checkpointS = spec.canCheckpoint() ? STOP_LEAD_CHECKPOINT_DURATIONS * spec.checkpointDurationS() : 0;
        return STOP_LEAD_HEARTBEAT_INTERVALS * workers.heartbeatIntervalS() + checkpointS;
    }

    /** The time that a task gets for its checkpoint, in seconds; at most the time until its machine is reclaimed. */
    static double graceS(Binding binding, long now) {
        double fullGraceS = 2 * binding.job().spec().checkpointDurationS() + 1;
        SpotReclaim reclaim = binding.machine().reclaim();
        if (!reclaim.isAnnounced()) {
            return fullGraceS;
        }
        double remainingS = Durations.seconds(reclaim.reclaimAt() - now);
        return Math.max(0, Math.min(fullGraceS, remainingS));
    }
}
