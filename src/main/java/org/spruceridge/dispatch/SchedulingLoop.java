package org.spruceridge.dispatch;

import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spruceridge.cluster.Binding;
import org.spruceridge.cluster.Cluster;
import org.spruceridge.cluster.Machine;
import org.spruceridge.net.CancellationScope;
import org.spruceridge.net.Durations;
import org.spruceridge.net.Latencies;
import org.spruceridge.net.Loop;
import org.spruceridge.persistence.RecordWriter;
import org.spruceridge.schedule.Matching;
import org.spruceridge.schedule.Plan;
import org.spruceridge.term.LeaderContext;
import org.spruceridge.term.LeaderTerm;

/** Runs a cycle after each event, with at least a set time between two, and carries out what it decides. */
public final class SchedulingLoop {
    private static final Logger LOG = LoggerFactory.getLogger(SchedulingLoop.class);

    /** Cycles take at most one part in this many of the processor: workers' reports come before decisions. */
    private static final long CYCLE_SPACING_IN_CYCLE_COSTS = 4;

    private static final long BUSY_RECHECK_INTERVAL_NANOS = Durations.millis(20);

    /** The bits of an attempt below its term; a term whose attempts are used up ends. */
    private static final int ATTEMPT_BITS = 24;

    static final long MAX_ATTEMPTS = (1L << ATTEMPT_BITS) - 1;

    private final Loop loop;
    private final CancellationScope scope;
    private final Cluster cluster;
    private final RecordWriter recordWriter;
    private final Matching matching;
    private final long minCycleSpacingNanos;
    private final long maxDecisionDelayNanos;
    private final LeaderTerm term;
    private final Latencies latencies;
    private final Consumer<Machine> commandsDue;
    private final Consumer<String> resign;
    private Plan lastPlan;
    private long cycleDueAt;
    private boolean cycleRequested;
    private long lastCycleAt;
    private long lastCycleDurationNanos;
    private long attemptsUsed;

    /** {@code commandsDue} is told of machines on which something has to be stopped; {@code resign} gives the lead up. */
    public SchedulingLoop(
            LeaderContext context,
            RecordWriter recordWriter,
            Matching matching,
            Consumer<Machine> commandsDue,
            Consumer<String> resign) {
        this.resign = resign;
        this.loop = context.loop();
        this.scope = context.scope();
        this.cluster = context.cluster();
        this.recordWriter = recordWriter;
        this.matching = matching;
        this.term = context.term();
        this.latencies = context.latencies();
        this.commandsDue = commandsDue;
        this.minCycleSpacingNanos =
                Durations.nanos(context.policy().scheduling().minCycleIntervalHeartbeats()
                        * context.settings().workers().heartbeatIntervalS());
        this.maxDecisionDelayNanos =
                Durations.nanos(context.settings().workers().maxDecisionDelayS());
        this.lastCycleAt = context.loop().nanos() - minCycleSpacingNanos;
    }

    /** Something happened that a new plan could use. */
    public void request() {
        if (!cycleRequested) {
            cycleRequested = true;
            cycleDueAt = Math.max(
                    loop.nanos(),
                    lastCycleAt
                            + Math.max(minCycleSpacingNanos, CYCLE_SPACING_IN_CYCLE_COSTS * lastCycleDurationNanos));
            scope.after(cycleDueAt - loop.nanos(), this::runUnlessLoopIsBusy);
        }
    }

    /** While requests wait, a cycle is put off: workers' reports come first. */
    private void runUnlessLoopIsBusy() {
        if (loop.busy() && loop.nanos() - cycleDueAt < maxDecisionDelayNanos) {
            scope.after(BUSY_RECHECK_INTERVAL_NANOS, this::runUnlessLoopIsBusy);
        } else {
            runCycle();
        }
    }

    /** So many attempts of this term are taken already. */
    void recordAttemptsUsed(long count) {
        attemptsUsed = count;
    }

    /** The latest plan, or null before the first. */
    public Plan lastPlan() {
        return lastPlan;
    }

    private void runCycle() {
        cycleRequested = false;
        long now = loop.nanos();
        lastCycleAt = now;
        Plan plan = matching.plan(cluster, now, loop.wallMillis());
        lastPlan = plan;
        if (attemptsUsed + plan.placements().size() > MAX_ATTEMPTS) {
            resign.accept("the attempts of this term are used up");
            return;
        }
        lastCycleDurationNanos = loop.nanos() - now;
        latencies.record(Latencies.Kind.SCHEDULING_CYCLES, lastCycleDurationNanos);
        for (Plan.Placement placement : plan.placements()) {
            Binding binding = new Binding(
                    placement.job(),
                    placement.index(),
                    nextAttempt(),
                    placement.machine(),
                    Binding.Stage.PROPOSED,
                    now);
            cluster.bind(binding);
            recordWriter.bind(binding);
        }
        for (Binding binding : plan.preemptions()) {
            binding.requestStop(Binding.StopMode.CHECKPOINT);
            binding.machine().recordPreemption(now);
            LOG.info("stopping {} to make room for work of a higher rank", binding);
            commandsDue.accept(binding.machine());
        }
        for (Binding binding : plan.evictions()) {
            binding.requestStop(Binding.StopMode.CHECKPOINT);
            LOG.info("stopping {} to move it: its machine is about to be taken away", binding);
            commandsDue.accept(binding.machine());
        }
        if (LOG.isDebugEnabled()) {
            LOG.debug(
                    "cycle: {} placed, {} stopped, {} jobs left waiting for room, {} groups, {} us",
                    plan.placements().size(),
                    plan.preemptions().size(),
                    plan.unplaced().size(),
                    plan.machineGroups(),
                    (loop.nanos() - now) / 1000);
        }
    }

    /** Attempts grow over all terms: the term is their upper part. */
    private long nextAttempt() {
        return (term.term() << ATTEMPT_BITS) + (++attemptsUsed);
    }
}
