package org.spruceridge.leader;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spruceridge.cluster.Cluster;
import org.spruceridge.cluster.Job;
import org.spruceridge.cluster.Machine;
import org.spruceridge.cluster.MachineType;
import org.spruceridge.net.CancellationScope;
import org.spruceridge.net.Durations;
import org.spruceridge.persistence.RecordWriter;
import org.spruceridge.term.LeaderContext;

/** Says in one log line, once in a while, how the cluster stands: for whoever is on call. */
final class StatusLogger {
    private static final Logger LOG = LoggerFactory.getLogger(StatusLogger.class);
    private static final long EVERY = Durations.nanos(15);

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
        log();
        scope.after(EVERY, this::start);
    }

    private void log() {
        int waiting = 0;
        for (Job job : cluster.jobs()) {
            waiting += job.waiting();
        }
        int spot = 0;
        int ordinary = 0;
        int coming = 0;
        int idle = 0;
        int leaving = 0;
        double cpus = 0;
        double bound = 0;
        for (Machine m : cluster.machines()) {
            if (!m.hasReported()) {
                coming++;
                continue;
            }
            spot += m.isSpot() ? 1 : 0;
            ordinary += m.isSpot() ? 0 : 1;
            idle += m.bindings().isEmpty() ? 1 : 0;
            leaving += m.isTerminating() || m.isUnschedulable() ? 1 : 0;
            cpus += cluster.typeOf(m)
                    .map(MachineType::capacity)
                    .map(r -> r.cpus())
                    .orElse(0.0);
            bound += m.used().cpus();
        }
        LOG.info(
                "term {}: {} jobs, {} tasks waiting; machines: {} ordinary, {} spot, {} coming, {} idle, {} leaving;"
                        + " {} of {} CPUs bound; {} writes waiting",
                term,
                cluster.jobs().size(),
                waiting,
                ordinary,
                spot,
                coming,
                idle,
                leaving,
                Math.round(bound),
                Math.round(cpus),
                recordWriter.backlog());
    }
}
