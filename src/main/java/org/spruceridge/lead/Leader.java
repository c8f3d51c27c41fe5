package org.spruceridge.lead;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spruceridge.cloud.CloudClient;
import org.spruceridge.cluster.Cluster;
import org.spruceridge.cluster.Job;
import org.spruceridge.cluster.Machine;
import org.spruceridge.cluster.MachineType;
import org.spruceridge.config.CancellationTimes;
import org.spruceridge.config.Policy;
import org.spruceridge.config.Settings;
import org.spruceridge.fleet.Fleet;
import org.spruceridge.net.CancellationScope;
import org.spruceridge.net.Durations;
import org.spruceridge.net.Latencies;
import org.spruceridge.net.Loop;
import org.spruceridge.net.RateLimitedWarnings;
import org.spruceridge.net.Response;
import org.spruceridge.record.BindingsRecord;
import org.spruceridge.schedule.Matching;
import org.spruceridge.state.StateClient;
import org.spruceridge.worker.Order;
import org.spruceridge.worker.Report;
import org.spruceridge.worker.WorkerClient;

/** All that a node does while it leads: one object for each term, stopped with it. */
public final class Leader {
    private static final Logger LOG = LoggerFactory.getLogger(Leader.class);

    /** Rounds run at least this often, in report periods: time alone changes scores and silences machines. */
    private static final double IDLE_ROUND_OF_REPORT = 1.0;

    private final Loop loop;
    private final CancellationScope scope;
    private final Cluster cluster = new Cluster();
    private final Ledger ledger;
    private final ReportDesk desk;
    private final JobWatch watch;
    private final Takeover takeover;
    private final Rounds rounds;
    private final Pusher pusher;
    private final Fleet fleet;
    private final Tenure tenure;
    private final long idleRound;
    private final Response nothingToDo;
    private boolean ready;

    /** {@code leads} tells whether the grant still holds; {@code resign} gives the lead up with a reason. */
    public Leader(
            Loop loop,
            StateClient state,
            CloudClient cloud,
            WorkerClient workers,
            Settings settings,
            Policy policy,
            RateLimitedWarnings warnings,
            Latencies latencies,
            Tenure tenure,
            BooleanSupplier leads,
            Consumer<String> resign) {
        this.loop = loop;
        this.tenure = tenure;
        this.nothingToDo = Order.answer(tenure.term(), List.of());
        this.scope = new CancellationScope(loop);
        this.idleRound = Durations.nanos(settings.workers().reportS() * IDLE_ROUND_OF_REPORT);
        Ledger.Listener events = new Ledger.Listener() {
            @Override
            public void committed(ImmutableSet<Machine> bound) {
                bound.forEach(pusher::push);
                rounds.request();
            }

            @Override
            public void cancelled(Job job) {
                watch.cancelled(job);
            }

            @Override
            public void broken(String why) {
                resign.accept(why);
            }
        };
        this.ledger = new Ledger(loop, scope, state, cluster, tenure, settings, latencies, events);
        this.desk = new ReportDesk(loop, cluster, ledger, tenure, settings, warnings, this::available);
        this.rounds = new Rounds(
                loop,
                scope,
                cluster,
                ledger,
                new Matching(
                        settings,
                        policy,
                        BindingsRecord.mostBindings(settings.state().recordKb())),
                settings,
                policy,
                tenure,
                latencies,
                this::push);
        this.pusher = new Pusher(loop, scope, workers, desk, settings, tenure, leads, () -> rounds.request());
        this.watch = new JobWatch(
                loop,
                scope,
                state,
                cluster,
                ledger,
                warnings,
                CancellationTimes.of(settings.workers()),
                pusher::push,
                () -> rounds.request());
        this.takeover = new Takeover(loop, scope, state, cluster, ledger.records(), tenure, warnings);
        this.fleet = new Fleet(
                loop,
                scope,
                cloud,
                cluster,
                ledger,
                settings,
                policy,
                tenure.term(),
                leads,
                rounds::lastPlan,
                rounds::request);
    }

    public void start() {
        takeover.start(new Takeover.Listener() {
            @Override
            public void jobsKnown(long asOf) {
                watch.knows(asOf);
            }

            @Override
            public void ready(long revision) {
                ready = true;
                LOG.info(
                        "term {}: took over {} jobs and {} machines after {} ms",
                        tenure.term(),
                        cluster.jobs().size(),
                        cluster.machines().size(),
                        ledFor() / 1_000_000);
                watch.start(revision);
                fleet.start();
                new Summary(scope, cluster, ledger, tenure).start();
                tick();
            }
        });
    }

    /** True while it knows enough of what users cancelled to answer workers. */
    public boolean informed() {
        return watch.informed();
    }

    /** A user was told that this job is cancelled: the watch will say so too, perhaps later. */
    public void cancelled(String id) {
        Job job = cluster.job(id);
        if (ready && job != null) {
            watch.cancelled(job);
        }
    }

    public void stop() {
        watch.stop();
        scope.close();
    }

    /** Nanoseconds since this node won the term. */
    public long ledFor() {
        return loop.nanos() - tenure.since();
    }

    public long term() {
        return tenure.term();
    }

    /** Reports come faster than this node can take them. */
    public void fallsBehind() {
        fleet.fallsBehind();
    }

    /** Takes over what is known of the machine types, unless the fleet has asked the cloud itself by now. */
    public void types(ImmutableMap<String, MachineType> types) {
        if (cluster.types().isEmpty()) {
            cluster.types(types);
        }
    }

    /** The picture of this term, to be read only. */
    public Cluster cluster() {
        return cluster;
    }

    /**
     * Takes a report; before the picture is complete it is only greeted, and told to stop what belongs to no open job:
     * the answer renews its lease. Empty if it is not to be answered.
     */
    public Optional<Response> report(Report report) {
        if (!ready) {
            desk.greet(report);
            return Optional.of(answer(desk.haltOthers(report)));
        }
        return desk.givenUp(report) ? Optional.empty() : Optional.of(answer(desk.take(report)));
    }

    private Response answer(List<Order> orders) {
        return orders.isEmpty() ? nothingToDo : Order.answer(tenure.term(), orders);
    }

    private void available(Machine machine) {
        if (machine.doubted()) {
            pusher.probe(machine);
        }
        rounds.request();
    }

    private void push(Machine machine) {
        pusher.push(machine);
    }

    private void tick() {
        rounds.request();
        scope.after(idleRound, this::tick);
    }
}
