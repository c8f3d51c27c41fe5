package org.spruceridge.leader;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
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
import org.spruceridge.progress.Progress;
import org.spruceridge.progress.ProgressReport;
import org.spruceridge.reconciliation.CancellationSource;
import org.spruceridge.reconciliation.HeartbeatHandler;
import org.spruceridge.reconciliation.JobWatcher;
import org.spruceridge.record.BindingsRecord;
import org.spruceridge.schedule.Matching;
import org.spruceridge.state.StateClient;
import org.spruceridge.term.FencingTokens;
import org.spruceridge.term.LeaderContext;
import org.spruceridge.term.LeaderTerm;
import org.spruceridge.upgrade.ClusterFeatureLevel;
import org.spruceridge.upgrade.FeatureLevelUpgrader;
import org.spruceridge.worker.WorkerClient;
import org.spruceridge.worker.WorkerHeartbeat;

/**
 * The leader during one term. Creates and connects the components, starts them when the failover is complete, and stops
 * them at the end of the term.
 */
public final class Leader {
    /**
     * The maximum time between two scheduling cycles, in heartbeat intervals. Cycles are needed even without new
     * events, because scores change and machines become suspect as time passes.
     */
    private static final double MAX_CYCLE_INTERVAL_HEARTBEATS = 1.0;

    private final LeaderContext context;
    private final Loop loop;
    private final CancellationScope scope;
    private final Cluster cluster;
    private final LeaderTerm term;
    private final long maxCycleIntervalNanos;
    private final RecordWriter recordWriter;
    private final FencingTokens fencingTokens;
    private final HeartbeatResponder heartbeatResponder;
    private final SchedulingLoop schedulingLoop;
    private final CommandSender commandSender;
    private final JobWatcher jobWatcher;
    private final Failover failover;
    private final FailoverLogger failoverLogger;
    private final FeatureLevelUpgrader featureLevelUpgrader;
    private final Autoscaler autoscaler;
    private final ObservedProgress observedProgress;
    private boolean failoverComplete;

    /** Forwards write outcomes to the components that depend on them. */
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
            failoverLogger.stepCompleted(step);
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
     * Creates and connects the components. Sends nothing before {@link #start}.
     *
     * @param allMembersSupportNextLevel whether all members in the settings have announced this version's level
     * @param resign ends the term; its argument is the reason, written to the log
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
        this.fencingTokens = new FencingTokens(context, state);
        HeartbeatHandler heartbeatHandler =
                new HeartbeatHandler(context, fencingTokens, recordWriter, this::machineAvailable);
        this.heartbeatResponder = new HeartbeatResponder(context, heartbeatHandler);
        this.schedulingLoop = new SchedulingLoop(context, recordWriter, newMatching(), this::sendDueCommands, resign);
        this.commandSender =
                new CommandSender(context, fencingTokens, workers, heartbeatHandler, schedulingLoop::request);
        this.jobWatcher = new JobWatcher(
                context,
                state,
                recordWriter,
                heartbeatHandler::recordCancellation,
                commandSender::sendDueCommands,
                schedulingLoop::request);
        this.failover = new Failover(context, state, recordWriter.records());
        this.observedProgress = new ObservedProgress(context);
        this.failoverLogger = new FailoverLogger(term.term());
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

    /** Starts the failover. All other components start when the failover is complete. */
    public void start() {
        failover.start(new FailoverListener());
    }

    private void failoverCompleted(long revision) {
        failoverComplete = true;
        observedProgress.failoverCompleted();
        heartbeatResponder.failoverCompleted();
        context.metrics().failoverCompleted(termAgeNanos());
        failoverLogger.completed(cluster, termAgeNanos());
        recordWriter.failoverCompleted();
        jobWatcher.watchFrom(revision);
        autoscaler.start();
        featureLevelUpgrader.start();
        new StatusLogger(context, recordWriter).start();
        requestCyclePeriodically();
    }

    /** Stops all components. */
    public void stop() {
        jobWatcher.stop();
        scope.close();
    }

    /** The term number, which is also the first fencing token of the term's commands. */
    public long term() {
        return term.term();
    }

    /** True if this fencing token belongs to a later term, so that another node has become the leader. */
    public boolean isOfLaterTerm(long fencingToken) {
        return fencingTokens.isOfLaterTerm(fencingToken);
    }

    /** Nanoseconds since this node won the term. */
    public long termAgeNanos() {
        return loop.nanos() - term.electedAtNanos();
    }

    /** The cluster state of this term; callers must not modify it. */
    public Cluster cluster() {
        return cluster;
    }

    /** The progress of an open job; empty if this leader does not know it. */
    public Optional<Progress> progressOf(String jobId) {
        return observedProgress.of(jobId);
    }

    /** The progress of all open jobs, as far as this leader knows it. */
    public ProgressReport progressReport() {
        return observedProgress.report();
    }

    /** The mod revision of the leader key that this leader wrote. */
    public long leaderRevision() {
        return term.leaderRevision();
    }

    /** True while this leader's view of cancelled jobs is recent enough to answer worker heartbeats. */
    public boolean mayAnswerWorkers() {
        return jobWatcher.isUpToDate();
    }

    /** Handles a worker heartbeat. The response is empty if the worker's lease must expire. */
    public Optional<Response> heartbeat(WorkerHeartbeat heartbeat) {
        return heartbeatResponder.respond(heartbeat);
    }

    /** Called when this node has dropped heartbeats unread, because they arrived faster than it can handle them. */
    public void heartbeatsDropped() {
        autoscaler.recordOverload();
    }

    /**
     * Called when another node has confirmed the cancellation of this job to a user. The job watch can deliver the same
     * cancellation later. Does nothing before the failover is complete.
     */
    public void jobCancelled(String jobId) {
        Job job = cluster.job(jobId);
        if (failoverComplete && job != null) {
            jobWatcher.markCancelled(job, CancellationSource.HEARTBEAT);
        }
    }

    /**
     * Adopts the machine types that this node already knows, unless the autoscaler has already read them from the
     * cloud.
     */
    public void adoptMachineTypes(ImmutableMap<String, MachineType> types) {
        if (cluster.machineTypes().isEmpty()) {
            cluster.updateMachineTypes(types);
        }
    }

    /**
     * Writes the number of the term and two ages in seconds. {@code viewAgeS} is the age of the leader's view of
     * cancelled jobs; it is omitted if the view has never been complete. {@code oldestUnprovenStopS} is the time since
     * the earliest cancellation of a job that has a task not yet proven to be gone from its machine; 0 if there is
     * none.
     */
    public void writeTo(ObjectNode out) {
        out.put("term", term.term()).put("oldestUnprovenStopS", autoscaler.oldestUnprovenStopS());
        jobWatcher.secondsSinceAllCancellationsKnown().ifPresent(ageS -> out.put("viewAgeS", ageS));
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
