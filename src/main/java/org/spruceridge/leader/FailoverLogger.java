package org.spruceridge.leader;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spruceridge.cluster.Cluster;
import org.spruceridge.failover.FailoverStep;
import org.spruceridge.net.Durations;

/** Logs the steps of a failover and their durations. */
final class FailoverLogger {
    private static final Logger LOG = LoggerFactory.getLogger(FailoverLogger.class);
    private static final long NANOS_PER_MILLI = Durations.millis(1);

    private final long term;

    FailoverLogger(long term) {
        this.term = term;
    }

    void stepCompleted(FailoverStep step) {
        long durationMs = step.durationNanos() / NANOS_PER_MILLI;
        if (step instanceof FailoverStep.ListingRead listing) {
            LOG.info(
                    "failover listing read term={} path={} count={} bytes={} durationMs={}",
                    term,
                    listing.prefix(),
                    listing.entryCount(),
                    listing.bytes(),
                    durationMs);
        } else if (step instanceof FailoverStep.CancelledJobsRead cancelled) {
            LOG.info(
                    "failover cancelled jobs read term={} count={} ageS={} durationMs={}",
                    term,
                    cancelled.jobCount(),
                    cancelled.oldestAgeS(),
                    durationMs);
        }
    }

    void completed(Cluster cluster, long durationNanos) {
        LOG.info(
                "failover completed term={} jobs={} machines={} durationMs={}",
                term,
                cluster.jobs().size(),
                cluster.machines().size(),
                durationNanos / NANOS_PER_MILLI);
    }
}
