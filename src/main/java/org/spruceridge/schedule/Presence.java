package org.spruceridge.schedule;

import org.spruceridge.cluster.JobSpec;
import org.spruceridge.cluster.Machine;

/** Ours: the share of its time on the machine that a task would run rather than wait for its image. */
public final class Presence implements Heuristic {
    @Override
    public double value(Row row, Machine machine, double remainingS) {
        JobSpec spec = row.candidate().job().spec();
        if (machine.hasImage(spec.image())) {
            return 1;
        }
        return remainingS / (remainingS + spec.imageGb() / row.fetchGbPerS().applyAsDouble(machine));
    }
}
