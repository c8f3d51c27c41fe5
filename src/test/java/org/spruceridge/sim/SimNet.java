package org.spruceridge.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.spruceridge.config.Address;
import org.spruceridge.net.Durations;
import org.spruceridge.net.HttpAnswer;
import org.spruceridge.net.HttpCall;
import org.spruceridge.net.HttpClient;

/** A network in memory that can lose, hold and delay messages. */
public final class SimNet {
    private static final long LATENCY = Durations.millis(1);

    /** What becomes of a request. */
    public enum Delivery {
        DELIVERED,
        /** It arrives a tenth of a second later than others. */
        SLOW,
        /** It never arrives. */
        LOST,
        /** It is carried out, and its answer never arrives. */
        ANSWER_LOST,
        /** Its sender gives up; it arrives when held messages are let go. */
        HELD,
        /** It arrives, and a copy of it when held messages are let go. */
        DUPLICATED,
        /** It arrives, and a copy of it some seconds to more than a lease later. */
        DUPLICATED_LATE,
        /** Its sender hears nothing; it arrives 2 to 12 seconds later. */
        DELAYED,
        /** It is answered 503. */
        REFUSED
    }

    /** Decides over requests. */
    public interface FaultPolicy {
        Delivery deliveryOf(String from, Address to, HttpCall call);
    }

    /** Takes requests at an address. */
    public interface Server extends BiConsumer<HttpCall, Consumer<HttpAnswer>> {}

    private final SimLoop loop;
    private final Map<Address, Server> servers = new HashMap<>();
    private final List<Runnable> held = new ArrayList<>();
    private final SplittableRandom random = new SplittableRandom(1);
    private final Map<String, Long> refusedUntil = new HashMap<>();
    private FaultPolicy faultPolicy = (from, to, call) -> Delivery.DELIVERED;

    SimNet(SimLoop loop) {
        this.loop = loop;
    }

    public void injectFaults(FaultPolicy next) {
        faultPolicy = next;
    }

    /** The state service refuses this node alone for a while; its open watches wait. */
    public void refuseStateRequests(String node, double seconds) {
        refusedUntil.put(node, loop.nanos() + Durations.nanos(seconds));
    }

    private boolean isRefused(String from, Address to) {
        return to.equals(SimulatedCluster.STATE_ADDRESS)
                && loop.nanos() < refusedUntil.getOrDefault(from, Long.MIN_VALUE);
    }

    /** No message is lost or held any more, and no node refused. */
    public void clearFaults() {
        refusedUntil.clear();
        faultPolicy = (from, to, call) -> Delivery.DELIVERED;
    }

    /** Messages that are held now. */
    public int heldCount() {
        return held.size();
    }

    /** Delivers all held messages, late. */
    public void deliverHeld() {
        List<Runnable> late = List.copyOf(held);
        held.clear();
        late.forEach(Runnable::run);
    }

    /** Delivers the message that has been held longest, if there is one. */
    public void deliverOldestHeld() {
        if (!held.isEmpty()) {
            held.remove(0).run();
        }
    }

    void serve(Address at, Server server) {
        servers.put(at, server);
    }

    void remove(Address at) {
        servers.remove(at);
    }

    /** The network as one process has it. */
    HttpClient client(String from, SimLoop.Process process) {
        return (to, call, timeout, done) -> {
            boolean[] over = new boolean[1];
            process.after(timeout, () -> {
                if (!over[0]) {
                    over[0] = true;
                    done.accept(HttpAnswer.noResponse());
                }
            });
            Delivery delivery = isRefused(from, to) ? Delivery.REFUSED : faultPolicy.deliveryOf(from, to, call);
            boolean isAnswered = delivery == Delivery.DELIVERED
                    || delivery == Delivery.SLOW
                    || delivery == Delivery.DUPLICATED
                    || delivery == Delivery.DUPLICATED_LATE
                    || delivery == Delivery.REFUSED;
            Consumer<HttpAnswer> back = answer -> process.after(LATENCY, () -> {
                if (!over[0] && isAnswered) {
                    over[0] = true;
                    done.accept(answer);
                }
            });
            Runnable arrive = () -> {
                Server server = servers.get(to);
                if (server != null) {
                    server.accept(call, answer -> answer(from, to, call, answer, back));
                }
            };
            switch (delivery) {
                case DELIVERED, ANSWER_LOST -> loop.after(LATENCY, arrive);
                case SLOW -> loop.after(Durations.millis(100), arrive);
                case HELD -> held.add(arrive);
                case DUPLICATED -> {
                    loop.after(LATENCY, arrive);
                    held.add(arrive);
                }
                case DUPLICATED_LATE -> {
                    loop.after(LATENCY, arrive);
                    loop.after(Durations.nanos(random.nextDouble(2, 1.5 * SimulatedCluster.LEASE_S)), arrive);
                }
                case DELAYED -> loop.after(Durations.nanos(random.nextDouble(2, 12)), arrive);
                case REFUSED -> back.accept(new HttpAnswer(503, new byte[0]));
                case LOST -> {}
                default -> throw new IllegalStateException("no such fate: " + delivery);
            }
            return () -> over[0] = true;
        };
    }

    /** The watch of a node that is refused waits, as in an outage. */
    private void answer(String from, Address to, HttpCall call, HttpAnswer answer, Consumer<HttpAnswer> back) {
        if (call.target().startsWith("/follow") && isRefused(from, to)) {
            loop.after(Durations.millis(50), () -> answer(from, to, call, answer, back));
        } else {
            back.accept(answer);
        }
    }
}
