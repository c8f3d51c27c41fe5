package org.spruceridge.leader;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spruceridge.autoscaling.Autoscaler;
import org.spruceridge.cloud.CloudClient;
import org.spruceridge.cluster.Cluster;
import org.spruceridge.cluster.Job;
import org.spruceridge.cluster.Machine;
import org.spruceridge.cluster.MachineType;
import org.spruceridge.config.Settings;
import org.spruceridge.dispatch.CommandSender;
import org.spruceridge.dispatch.SchedulingLoop;
import org.spruceridge.failover.Failover;
import org.spruceridge.failover.FailoverStep;
import org.spruceridge.net.CancellationScope;
import org.spruceridge.net.Durations;
import org.spruceridge.net.Loop;
import org.spruceridge.net.Response;
import org.spruceridge.persistence.RecordWriter;
import org.spruceridge.reconciliation.CancellationSource;
import org.spruceridge.reconciliation.HeartbeatHandler;
import org.spruceridge.reconciliation.JobWatcher;
import org.spruceridge.record.BindingsRecord;
import org.spruceridge.schedule.Matching;
import org.spruceridge.state.StateClient;
import org.spruceridge.term.LeaderContext;
import org.spruceridge.term.LeaderTerm;
import org.spruceridge.upgrade.ClusterFeatureLevel;
import org.spruceridge.upgrade.FeatureLevelUpgrader;
import org.spruceridge.worker.WorkerClient;
import org.spruceridge.worker.WorkerHeartbeat;

/**
 * All duties of a node during one term as leader. It connects the parts, starts them once the failover is complete, and
 * stops them with the term.
 */
public final class Leader {
    private static final Logger LOG = LoggerFactory.getLogger(Leader.class);
    private static final long NANOS_PER_MILLI = 1_000_000;

    /**
     * The longest time between two scheduling cycles, in heartbeat intervals: the passage of time alone changes scores
     * and makes machines suspect.
     */
    private static final double MAX_CYCLE_INTERVAL_HEARTBEATS = 1.0;

    private final LeaderContext context;
    private final Loop loop;
    private final CancellationScope scope;
    private final Cluster cluster;
    private final LeaderTerm term;
    private final long maxCycleIntervalNanos;
    private final RecordWriter recordWriter;
    private final HeartbeatResponder heartbeatResponder;
    private final SchedulingLoop schedulingLoop;
    private final CommandSender commandSender;
    private final JobWatcher jobWatcher;
    private final Failover failover;
    private final FeatureLevelUpgrader featureLevelUpgrader;
    private final Autoscaler autoscaler;
    private boolean failoverComplete;

    /** Passes the outcomes of writes to the parts that depend on them. */
    private final class WriteListener implements RecordWriter.Listener {
        private final Consumer<String> resign;

        WriteListener(Consumer<String> resign) {
            this.resign = resign;
        }

        @Override
        public void onCommitted(ImmutableSet<Machine> bound) {
            bound.forEach(commandSender::sendDueCommands);
            schedulingLoop.request();
        }

        @Override
        public void onJobCancelled(Job job) {
            jobWatcher.markCancelled(job, CancellationSource.FAILED_GUARD);
        }

        @Override
        public void onWriteFailed(String reason) {
            resign.accept(reason);
        }
    }

    private final class FailoverListener implements Failover.Listener {
        @Override
        public void stepCompleted(FailoverStep step) {
            log(step);
        }

        @Override
        public void openJobsLoaded(long asOfNanos) {
            jobWatcher.recordViewCompleteUpTo(asOfNanos);
        }

        @Override
        public void completed(long revision) {
            failoverCompleted(revision);
        }
    }

    /**
     * Connects the parts; nothing is sent before {@link #start}.
     *
     * @param allMembersSupportNextLevel whether all members of the settings have announced this version's feature level
     * @param resign ends the term, with a reason for the log
     */
    public Leader(
            LeaderContext context,
            StateClient state,
            CloudClient cloud,
            WorkerClient workers,
            ClusterFeatureLevel featureLevel,
            BooleanSupplier allMembersSupportNextLevel,
            Consumer<String> resign) {
        this.context = context;
        this.loop = context.loop();
        this.scope = context.scope();
        this.cluster = context.cluster();
        this.term = context.term();
        Settings settings = context.settings();
        this.maxCycleIntervalNanos =
                Durations.nanos(settings.workers().heartbeatIntervalS() * MAX_CYCLE_INTERVAL_HEARTBEATS);
        this.recordWriter = new RecordWriter(context, state, new WriteListener(resign));
        HeartbeatHandler heartbeatHandler = new HeartbeatHandler(context, recordWriter, this::machineAvailable);
        this.heartbeatResponder = new HeartbeatResponder(context, heartbeatHandler);
        this.schedulingLoop = new SchedulingLoop(context, recordWriter, newMatching(), this::sendDueCommands, resign);
        this.commandSender = new CommandSender(context, workers, heartbeatHandler, schedulingLoop::request);
        this.jobWatcher =
                new JobWatcher(context, state, recordWriter, commandSender::sendDueCommands, schedulingLoop::request);
        this.failover = new Failover(context, state, recordWriter.records());
        this.featureLevelUpgrader = new FeatureLevelUpgrader(
                scope,
                state,
                featureLevel,
                term.featureLevel(),
                term.leaderRevision(),
                allMembersSupportNextLevel,
                recordWriter::levelRaised);
        this.autoscaler =
                new Autoscaler(context, cloud, recordWriter, schedulingLoop::lastPlan, schedulingLoop::request);
    }

    private Matching newMatching() {
        int maxBindingsPerMachine =
                BindingsRecord.maxBindingsPerMachine(context.settings().state().recordKb());
        return new Matching(context.settings(), context.policy(), maxBindingsPerMachine);
    }

    /** Starts the failover, and all other duties when it is complete. */
    public void start() {
        failover.start(new FailoverListener());
    }

    private void failoverCompleted(long revision) {
        failoverComplete = true;
        heartbeatResponder.failoverCompleted();
        context.metrics().failoverCompleted(termAgeNanos());
        LOG.info(
                "failover completed term={} jobs={} machines={} durationMs={}",
                term.term(),
                cluster.jobs().size(),
                cluster.machines().size(),
                termAgeNanos() / NANOS_PER_MILLI);
        recordWriter.failoverCompleted();
        jobWatcher.watchFrom(revision);
        autoscaler.start();
        featureLevelUpgrader.start();
        new StatusLogger(context, recordWriter).start();
        requestCyclePeriodically();
    }

    private void log(FailoverStep step) {
        long durationMs = step.durationNanos() / NANOS_PER_MILLI;
        if (step instanceof FailoverStep.ListingRead listing) {
            LOG.info(
                    "failover listing read term={} path={} count={} bytes={} durationMs={}",
                    term.term(),
                    listing.prefix(),
                    listing.entries(),
                    listing.bytes(),
                    durationMs);
        } else if (step instanceof FailoverStep.CancelledJobsRead cancelled) {
            LOG.info(
                    "failover cancelled jobs read term={} count={} ageS={} durationMs={}",
                    term.term(),
                    cancelled.jobs(),
                    cancelled.oldestAgeS(),
                    durationMs);
        }
    }

    /** Stops all duties of the term. */
    public void stop() {
        jobWatcher.stop();
        scope.close();
    }

    /** The number of the term, which is the fencing token of its commands. */
    public long term() {
        return term.term();
    }

    /** Nanoseconds since this node won the term. */
    public long termAgeNanos() {
        return loop.nanos() - term.electedAtNanos();
    }

    /** This term's cluster state, to be read only. */
    public Cluster cluster() {
        return cluster;
    }

    /** True while the view of cancelled jobs is recent enough to answer workers. */
    public boolean mayAnswerWorkers() {
        return jobWatcher.isUpToDate();
    }

    /** Handles a worker heartbeat. The response is empty if the worker's lease must expire. */
    public Optional<Response> heartbeat(WorkerHeartbeat heartbeat) {
        return heartbeatResponder.respond(heartbeat);
    }

    /** Heartbeats arrive faster than this node can handle them, and some were dropped unread. */
    public void heartbeatsDropped() {
        autoscaler.recordOverload();
    }

    /** Another node has confirmed the cancellation of this job to a user; the job watch may deliver it later. */
    public void jobCancelled(String id) {
        Job job = cluster.job(id);
        if (failoverComplete && job != null) {
            jobWatcher.markCancelled(job, CancellationSource.HEARTBEAT);
        }
    }

    /** Adopts machine types that this node has learned, unless the autoscaler has read them from the cloud already. */
    public void adoptMachineTypes(ImmutableMap<String, MachineType> types) {
        if (cluster.types().isEmpty()) {
            cluster.updateTypes(types);
        }
    }

    /** Adds the term, the age of the view of cancellations, and the age of the oldest stop without proof. */
    public void writeTo(ObjectNode out) {
        out.put("term", term.term()).put("oldestUnprovenStopS", autoscaler.oldestUnprovenStopS());
        jobWatcher.cancellationViewAgeS().ifPresent(ageS -> out.put("viewAgeS", ageS));
    }

    private void machineAvailable(Machine machine) {
        if (machine.suspicion().isSuspect()) {
            commandSender.probe(machine);
        }
        schedulingLoop.request();
    }

    private void sendDueCommands(Machine machine) {
        commandSender.sendDueCommands(machine);
    }

    private void requestCyclePeriodically() {
        schedulingLoop.request();
        scope.after(maxCycleIntervalNanos, this::requestCyclePeriodically);
    }
}
