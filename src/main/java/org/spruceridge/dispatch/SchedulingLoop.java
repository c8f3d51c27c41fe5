package org.spruceridge.dispatch;

import java.util.Optional;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
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

/**
 * Runs scheduling cycles on request. Consecutive cycles have a minimum spacing. A cycle is deferred for a limited time
 * while other requests wait on the event loop.
 */
public final class SchedulingLoop {
    private static final Logger LOG = LoggerFactory.getLogger(SchedulingLoop.class);

    /**
     * The minimum time between the starts of two cycles, as a multiple of the duration of the last cycle. The multiple
     * limits scheduling to a quarter of the event loop's time, because heartbeats take precedence.
     */
    private static final long MIN_SPACING_IN_CYCLE_DURATIONS = 4;

    private static final long BUSY_RECHECK_INTERVAL_NANOS = Durations.millis(20);

    private final Loop loop;
    private final CancellationScope scope;
    private final Cluster cluster;
    private final Matching matching;
    private final Latencies latencies;
    private final AttemptNumbers attemptNumbers;
    private final PlanExecutor executor;
    private final Consumer<String> resign;
    private final long minCycleSpacingNanos;
    private final long maxDecisionDelayNanos;
    private Optional<Plan> lastPlan = Optional.empty();
    private boolean isCycleRequested;
    private long cycleDueAt;
    private long lastCycleAt;
    private long lastCycleDurationNanos;

    /**
     * {@code onCommandsDue} is called for each machine on which a task has to be stopped. {@code resign} ends the
     * leadership; its argument is the reason.
     */
    public SchedulingLoop(
            LeaderContext context,
            RecordWriter recordWriter,
            Matching matching,
            Consumer<Machine> onCommandsDue,
            Consumer<String> resign) {
        this.loop = context.loop();
        this.scope = context.scope();
        this.cluster = context.cluster();
        this.matching = matching;
        this.latencies = context.latencies();
        this.attemptNumbers = new AttemptNumbers(context.term().election());
        this.executor = new PlanExecutor(cluster, recordWriter, attemptNumbers, onCommandsDue);
        this.resign = resign;
        this.minCycleSpacingNanos =
                Durations.nanos(context.policy().scheduling().minCycleIntervalHeartbeats()
                        * context.settings().workers().heartbeatIntervalS());
        this.maxDecisionDelayNanos =
                Durations.nanos(context.settings().workers().maxDecisionDelayS());
        this.lastCycleAt = loop.nanos() - minCycleSpacingNanos;
    }

    /** Requests a cycle after an event that can change the plan. Does nothing if a cycle is already requested. */
    public void request() {
        if (isCycleRequested) {
            return;
        }
        isCycleRequested = true;
        long spacingNanos = Math.max(minCycleSpacingNanos, MIN_SPACING_IN_CYCLE_DURATIONS * lastCycleDurationNanos);
        cycleDueAt = Math.max(loop.nanos(), lastCycleAt + spacingNanos);
        scope.after(cycleDueAt - loop.nanos(), this::runUnlessLoopIsBusy);
    }

    /** The latest plan; empty before the first cycle of the term. */
    public Optional<Plan> lastPlan() {
        return lastPlan;
    }

    /** Records that this term has already used {@code count} attempt numbers. */
    void recordAttemptsUsed(long count) {
        attemptNumbers.recordUsed(count);
    }

    /**
     * Runs the cycle, or defers it while requests wait on the event loop, because heartbeats take precedence. The cycle
     * is deferred by no more than the maximum decision delay.
     */
    private void runUnlessLoopIsBusy() {
        if (loop.busy() && loop.nanos() - cycleDueAt < maxDecisionDelayNanos) {
            scope.after(BUSY_RECHECK_INTERVAL_NANOS, this::runUnlessLoopIsBusy);
        } else {
            runCycle();
        }
    }

    private void runCycle() {
        isCycleRequested = false;
        long now = loop.nanos();
        lastCycleAt = now;
        Plan plan = matching.plan(cluster, now, loop.wallMillis());
        lastPlan = Optional.of(plan);
        if (!attemptNumbers.hasRemaining(plan.placements().size())) {
            resign.accept("attempt-numbers-exhausted");
            return;
        }
        lastCycleDurationNanos = loop.nanos() - now;
        latencies.record(Latencies.Kind.SCHEDULING_CYCLES, lastCycleDurationNanos);
        executor.execute(plan, now);
        log(plan, now);
    }

    private void log(Plan plan, long startedAt) {
        if (LOG.isDebugEnabled()) {
            LOG.debug(
                    "scheduling cycle completed placements={} preemptions={} unplacedJobs={} groups={} durationMs={}",
                    plan.placements().size(),
                    plan.preemptions().size(),
                    plan.unplacedTaskCounts().size(),
                    plan.machineGroupCount(),
                    (loop.nanos() - startedAt) / 1e6);
        }
    }
}
