package org.spruceridge.reconciliation;

import org.spruceridge.cluster.Binding;
import org.spruceridge.cluster.JobSpec;
import org.spruceridge.cluster.SpotReclaim;
import org.spruceridge.config.Settings;
import org.spruceridge.net.Durations;

/** Stops tasks in time for a checkpoint on machines that the cloud is about to reclaim. */
final class ReclaimCheckpoint {
    /** The next heartbeat comes at the latest after one and a quarter intervals; this is twice that. */
    private static final double LAST_CHANCE_HEARTBEATS = 2.5;

    private static final double LAST_CHANCE_CHECKPOINTS = 1.5;

    private final Settings.Workers workers;

    ReclaimCheckpoint(Settings.Workers workers) {
        this.workers = workers;
    }

    /** Requests the stop of a task that is on the machine if this is the last chance for its checkpoint. */
    void requestIfDue(Binding binding, long now) {
        SpotReclaim reclaim = binding.machine().reclaim();
        if (!isPresent(binding) || !reclaim.isAnnounced() || binding.stopMode() != Binding.StopMode.NONE) {
            return;
        }
        double remainingS = Durations.seconds(reclaim.reclaimAt() - now);
        if (remainingS <= lastChanceS(binding.job().spec())) {
            binding.requestStop(Binding.StopMode.CHECKPOINT);
        }
    }

    private static boolean isPresent(Binding binding) {
        return binding.phase() == Binding.Phase.RUNNING || binding.phase() == Binding.Phase.FETCHING;
    }

    private double lastChanceS(JobSpec spec) {
        double checkpointS = spec.canCheckpoint() ? LAST_CHANCE_CHECKPOINTS * spec.checkpointDurationS() : 0;
        return LAST_CHANCE_HEARTBEATS * workers.heartbeatIntervalS() + checkpointS;
    }

    /** How many seconds a task gets for its checkpoint: not more than remain until its machine is reclaimed. */
    static double graceS(Binding binding, long now) {
        double wantedS = 2 * binding.job().spec().checkpointDurationS() + 1;
        SpotReclaim reclaim = binding.machine().reclaim();
        if (!reclaim.isAnnounced()) {
            return wantedS;
        }
        double remainingS = Durations.seconds(reclaim.reclaimAt() - now);
        return Math.max(0, Math.min(wantedS, remainingS));
    }
}
