package org.spruceridge.leader;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.List;
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
import org.spruceridge.term.HeartbeatOutcome;
import org.spruceridge.term.LeaderContext;
import org.spruceridge.term.LeaderTerm;
import org.spruceridge.upgrade.ClusterFeatureLevel;
import org.spruceridge.upgrade.FeatureLevelUpgrader;
import org.spruceridge.worker.WorkerClient;
import org.spruceridge.worker.WorkerCommand;
import org.spruceridge.worker.WorkerHeartbeat;

/** All that a node does while it leads: one object for each term, stopped with it. */
public final class Leader {
    private static final Logger LOG = LoggerFactory.getLogger(Leader.class);

    /** Cycles run at least this often, in report periods: time alone changes scores and silences machines. */
    private static final double IDLE_CYCLE_OF_REPORT = 1.0;

    private final LeaderContext context;
    private final Loop loop;
    private final CancellationScope scope;
    private final Cluster cluster;
    private final RecordWriter recordWriter;
    private final HeartbeatHandler heartbeatHandler;
    private final JobWatcher watch;
    private final Failover failover;
    private final SchedulingLoop schedulingLoop;
    private final CommandSender commandSender;
    private final Autoscaler autoscaler;
    private final FeatureLevelUpgrader levelRaiser;
    private final LeaderTerm term;
    private final long idleCycle;
    private final Response nothingToDo;
    private boolean ready;

    /** Acts on what became of the leader's writes. */
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
            watch.markCancelled(job, CancellationSource.FAILED_GUARD);
        }

        @Override
        public void onWriteFailed(String reason) {
            resign.accept(reason);
        }
    }

    /**
     * {@code everyMemberSupportsLevel} tells whether all members of the settings announced this version's feature level;
     * {@code resign} gives the lead up, with a reason.
     */
    public Leader(
            LeaderContext context,
            StateClient state,
            CloudClient cloud,
            WorkerClient workers,
            ClusterFeatureLevel level,
            BooleanSupplier everyMemberSupportsLevel,
            Consumer<String> resign) {
        this.context = context;
        this.loop = context.loop();
        this.scope = context.scope();
        this.cluster = context.cluster();
        this.term = context.term();
        Settings settings = context.settings();
        this.nothingToDo = WorkerCommand.answer(term.term(), List.of());
        this.idleCycle = Durations.nanos(settings.workers().heartbeatIntervalS() * IDLE_CYCLE_OF_REPORT);
        this.recordWriter = new RecordWriter(context, state, new WriteListener(resign));
        this.heartbeatHandler = new HeartbeatHandler(context, recordWriter, this::available);
        Matching matching = new Matching(
                settings,
                context.policy(),
                BindingsRecord.maxBindingsPerMachine(settings.state().recordKb()));
        this.schedulingLoop = new SchedulingLoop(context, recordWriter, matching, this::push, resign);
        this.commandSender = new CommandSender(context, workers, heartbeatHandler, () -> schedulingLoop.request());
        this.watch = new JobWatcher(
                context, state, recordWriter, commandSender::sendDueCommands, () -> schedulingLoop.request());
        this.failover = new Failover(context, state, recordWriter.records());
        this.levelRaiser = new FeatureLevelUpgrader(
                scope,
                state,
                level,
                term.featureLevel(),
                term.leaderRevision(),
                everyMemberSupportsLevel,
                recordWriter::levelRaised);
        this.autoscaler =
                new Autoscaler(context, cloud, recordWriter, schedulingLoop::lastPlan, schedulingLoop::request);
    }

    /** Takes over from the records, and then begins to schedule. */
    public void start() {
        failover.start(new Failover.Listener() {
            @Override
            public void stepCompleted(Failover.Step step) {
                LOG.info("term {}: failover: {}, after {} ms", term.term(), step.what(), step.nanos() / 1_000_000);
            }

            @Override
            public void openJobsLoaded(long asOfNanos) {
                watch.recordViewCompleteUpTo(asOfNanos);
            }

            @Override
            public void completed(long revision) {
                ready = true;
                heartbeatHandler.failoverCompleted();
                context.metrics().failoverCompleted(termAgeNanos());
                LOG.info(
                        "term {}: took over {} jobs and {} machines after {} ms",
                        term.term(),
                        cluster.jobs().size(),
                        cluster.machines().size(),
                        termAgeNanos() / 1_000_000);
                recordWriter.failoverCompleted();
                watch.watchFrom(revision);
                autoscaler.start();
                levelRaiser.start();
                new StatusLogger(context, recordWriter).start();
                tick();
            }
        });
    }

    /** True while it knows enough of what users cancelled to answer workers. */
    public boolean mayAnswerWorkers() {
        return watch.isUpToDate();
    }

    /** A user was told that this job is cancelled: the watch will say so too, perhaps later. */
    public void jobCancelled(String id) {
        Job job = cluster.job(id);
        if (ready && job != null) {
            watch.markCancelled(job, CancellationSource.HEARTBEAT);
        }
    }

    /** Ends all duties of the term. */
    public void stop() {
        watch.stop();
        scope.close();
    }

    /** Nanoseconds since this node won the term. */
    public long termAgeNanos() {
        return loop.nanos() - term.electedAtNanos();
    }

    /** The number of the term, which is the token of its commands. */
    public long term() {
        return term.term();
    }

    /** Reports come faster than this node can take them. */
    public void heartbeatsDropped() {
        autoscaler.recordOverload();
    }

    /** Takes over what is known of the machine types, unless the autoscaler has asked the cloud itself by now. */
    public void adoptMachineTypes(ImmutableMap<String, MachineType> types) {
        if (cluster.types().isEmpty()) {
            cluster.updateTypes(types);
        }
    }

    /** This term's cluster state, to be read only. */
    public Cluster cluster() {
        return cluster;
    }

    /**
     * Takes a report; before the failover is complete it is only acknowledged, and told to stop what belongs to no open job:
     * the answer renews its lease. Empty if it is not to be answered.
     */
    public Optional<Response> heartbeat(WorkerHeartbeat heartbeat) {
        if (!ready) {
            return answered(heartbeat, heartbeatHandler.handleDuringFailover(heartbeat));
        }
        if (heartbeatHandler.withholdsResponse(heartbeat)) {
            context.metrics().count(HeartbeatOutcome.RESPONSE_WITHHELD);
            LOG.debug("term {}: {} is not answered: its lease is to run out", term.term(), heartbeat.machine());
            return Optional.empty();
        }
        return answered(heartbeat, heartbeatHandler.handle(heartbeat));
    }

    private Optional<Response> answered(WorkerHeartbeat heartbeat, List<WorkerCommand> commands) {
        long stops = commands.stream()
                .filter(o -> o.verb() == WorkerCommand.Verb.STOP)
                .count();
        HeartbeatOutcome outcome = !ready
                ? HeartbeatOutcome.ANSWERED_DURING_FAILOVER
                : stops > 0 ? HeartbeatOutcome.ANSWERED_WITH_STOPS : HeartbeatOutcome.ANSWERED;
        context.metrics().count(outcome);
        if (LOG.isDebugEnabled()) {
            LOG.debug(
                    "term {}: {} with token {} and {} tasks: {}, {} stops",
                    term.term(),
                    heartbeat.machine(),
                    heartbeat.fencingToken(),
                    heartbeat.tasks().size(),
                    outcome,
                    stops);
        }
        return Optional.of(answer(commands));
    }

    /** Adds how old the view of cancellations is, and how long ago the oldest unproven stop's job was cancelled. */
    public void writeTo(ObjectNode out) {
        out.put("term", term.term()).put("oldestUnprovenStopS", autoscaler.oldestUnprovenStopS());
        watch.cancellationViewAgeS().ifPresent(ageS -> out.put("viewAgeS", ageS));
    }

    private Response answer(List<WorkerCommand> commands) {
        return commands.isEmpty() ? nothingToDo : WorkerCommand.answer(term.term(), commands);
    }

    private void available(Machine machine) {
        if (machine.suspicion().isSuspect()) {
            commandSender.probe(machine);
        }
        schedulingLoop.request();
    }

    private void push(Machine machine) {
        commandSender.sendDueCommands(machine);
    }

    private void tick() {
        schedulingLoop.request();
        scope.after(idleCycle, this::tick);
    }
}
