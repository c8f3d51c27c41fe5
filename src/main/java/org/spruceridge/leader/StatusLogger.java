package org.spruceridge.leader;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spruceridge.cluster.Cluster;
import org.spruceridge.net.CancellationScope;
import org.spruceridge.net.Durations;
import org.spruceridge.persistence.RecordWriter;
import org.spruceridge.term.LeaderContext;

/** Logs the cluster status periodically, on one line, for on-call engineers. */
final class StatusLogger {
    private static final Logger LOG = LoggerFactory.getLogger(StatusLogger.class);
    private static final long INTERVAL_NANOS = Durations.nanos(15);

    private final CancellationScope scope;
    private final Cluster cluster;
    private final RecordWriter recordWriter;
    private final long term;

    StatusLogger(LeaderContext context, RecordWriter recordWriter) {
        this.scope = context.scope();
        this.cluster = context.cluster();
        this.recordWriter = recordWriter;
        this.term = context.term().term();
    }

    void start() {
        log(ClusterStatus.of(cluster));
        scope.after(INTERVAL_NANOS, this::start);
    }

    private void log(ClusterStatus status) {
        LOG.info(
                "cluster status term={} jobs={} waitingTasks={} onDemandMachines={} spotMachines={} bootingMachines={}"
                        + " idleMachines={} leavingMachines={} usedCpus={} totalCpus={} pendingWrites={}",
                term,
                status.jobCount(),
                status.waitingTaskCount(),
                status.machines().onDemand(),
                status.machines().spot(),
                status.machines().booting(),
                status.machines().idle(),
                status.machines().leaving(),
                Math.round(status.usedCpus()),
                Math.round(status.totalCpus()),
                recordWriter.backlog());
    }
}
