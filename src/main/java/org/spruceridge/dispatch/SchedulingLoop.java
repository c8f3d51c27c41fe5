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
    private static final long COSTS_APART = 4;

    private static final long LOOK_AGAIN = Durations.millis(20);

    /** The bits of an attempt below its term; a term whose attempts are used up ends. */
    private static final int ATTEMPT_BITS = 24;

    static final long MOST_ATTEMPTS = (1L << ATTEMPT_BITS) - 1;

    private final Loop loop;
    private final CancellationScope scope;
    private final Cluster cluster;
    private final RecordWriter recordWriter;
    private final Matching matching;
    private final long spacing;
    private final long mostDelay;
    private final LeaderTerm term;
    private final Latencies latencies;
    private final Consumer<Machine> push;
    private final Consumer<String> resign;
    private Plan lastPlan;
    private long dueAt;
    private boolean due;
    private long lastRun;
    private long lastCost;
    private long attempts;

    /** {@code push} is told of machines on which something has to be stopped; {@code resign} gives the lead up. */
    public SchedulingLoop(
            LeaderContext context,
            RecordWriter recordWriter,
            Matching matching,
            Consumer<Machine> push,
            Consumer<String> resign) {
        this.resign = resign;
        this.loop = context.loop();
        this.scope = context.scope();
        this.cluster = context.cluster();
        this.recordWriter = recordWriter;
        this.matching = matching;
        this.term = context.term();
        this.latencies = context.latencies();
        this.push = push;
        this.spacing = Durations.nanos(context.policy().scheduling().spacingOfReport()
                * context.settings().workers().heartbeatIntervalS());
        this.mostDelay = Durations.nanos(context.settings().workers().mostDecisionDelayS());
        this.lastRun = context.loop().nanos() - spacing;
    }

    /** Something happened that a new plan could use. */
    public void request() {
        if (!due) {
            due = true;
            dueAt = Math.max(loop.nanos(), lastRun + Math.max(spacing, COSTS_APART * lastCost));
            scope.after(dueAt - loop.nanos(), this::runUnlessBusy);
        }
    }

    /** While requests wait, a cycle is put off: workers' reports come first. */
    private void runUnlessBusy() {
        if (loop.busy() && loop.nanos() - dueAt < mostDelay) {
            scope.after(LOOK_AGAIN, this::runUnlessBusy);
        } else {
            run();
        }
    }

    /** So many attempts of this term are taken already. */
    void attemptsTaken(long count) {
        attempts = count;
    }

    /** The latest plan, or null before the first. */
    public Plan lastPlan() {
        return lastPlan;
    }

    private void run() {
        due = false;
        long now = loop.nanos();
        lastRun = now;
        Plan plan = matching.plan(cluster, now, loop.wallMillis());
        lastPlan = plan;
        if (attempts + plan.placements().size() > MOST_ATTEMPTS) {
            resign.accept("the attempts of this term are used up");
            return;
        }
        lastCost = loop.nanos() - now;
        latencies.record(Latencies.Kind.SCHEDULING_CYCLES, lastCost);
        for (Plan.Placement p : plan.placements()) {
            Binding b = new Binding(p.job(), p.index(), nextAttempt(), p.machine(), Binding.Stage.PROPOSED, now);
            cluster.bind(b);
            recordWriter.bind(b);
        }
        for (Binding b : plan.preemptions()) {
            b.stopMode(Binding.StopMode.CHECKPOINT);
            b.machine().lastPreemption(now);
            LOG.info("stopping {} to make room for work of a higher rank", b);
            push.accept(b.machine());
        }
        for (Binding b : plan.evictions()) {
            b.stopMode(Binding.StopMode.CHECKPOINT);
            LOG.info("stopping {} to move it: its machine is about to be taken away", b);
            push.accept(b.machine());
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
        return (term.term() << ATTEMPT_BITS) + (++attempts);
    }
}
