package org.spruceridge.progress;

import java.util.OptionalLong;
import org.spruceridge.net.Durations;

/**
 * Relates the monotonic clock of the leader to that of this node, so that this node can tell how old a report of the
 * leader is at most. Wall clocks do not serve, because they may differ by seconds, and the receipt of a message says
 * nothing of its age. The relation follows from messages: if the leader's clock showed some time when it received a
 * message of this node, that time is not before the sending. A term belongs to one process, and so to one clock. All
 * times are nanoseconds on a monotonic clock.
 */
public final class LeaderClock {
    private static final double MAX_RELATIVE_DRIFT = 2 * Durations.MAX_CLOCK_DRIFT_RATIO;

    private long term;
    private boolean isRelated;
    /** The smallest possible difference of this node's clock and the leader's. */
    private long minOffset;

    private long offsetRecordedAt;

    /**
     * Records that the clock of the leader of this term showed {@code leaderTime} when this node's clock showed {@code
     * earliestTime} or later.
     */
    public void record(long leaderTerm, long leaderTime, long earliestTime, long now) {
        if (leaderTerm < term) {
            return;
        }
        long offset = earliestTime - leaderTime;
        if (leaderTerm > term || !isRelated || offset > minOffsetAt(now)) {
            term = leaderTerm;
            isRelated = true;
            minOffset = offset;
            offsetRecordedAt = now;
        }
    }

    /**
     * Returns the maximum age of what the leader of this term said when its clock showed {@code leaderTime}; empty if its
     * clock is not related to this node's yet.
     */
    public OptionalLong maxAgeNanos(long leaderTerm, long leaderTime, long now) {
        return isRelated && leaderTerm == term
                ? OptionalLong.of(now - (leaderTime + minOffsetAt(now)))
                : OptionalLong.empty();
    }

    private long minOffsetAt(long now) {
        return minOffset - (long) ((now - offsetRecordedAt) * MAX_RELATIVE_DRIFT);
    }
}
