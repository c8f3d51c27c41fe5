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
    private static final long LATENCY_NANOS = Durations.millis(1);

    /** How the network delivers a request. */
    public enum Delivery {
        DELIVERED,
        /** It arrives a tenth of a second later than others. */
        SLOW,
        /** It never arrives. */
        LOST,
        /** It is processed, and its answer never arrives. */
        ANSWER_LOST,
        /** Its sender times out; it arrives when held messages are delivered. */
        HELD,
        /** It arrives, and a duplicate of it when held messages are delivered. */
        DUPLICATED,
        /** It arrives, and a duplicate of it 2 seconds to one and a half leases later. */
        DUPLICATED_LATE,
        /** Its sender gets no answer; it arrives 2 to 12 seconds later. */
        DELAYED,
        /** It is answered 503. */
        REFUSED;

        private boolean isAnswered() {
            return switch (this) {
                case DELIVERED, SLOW, DUPLICATED, DUPLICATED_LATE, REFUSED -> true;
                case LOST, ANSWER_LOST, HELD, DELAYED -> false;
            };
        }
    }

    /** Decides how each request is delivered. */
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

    /** From now on all requests are delivered, and no node is refused; held messages stay held. */
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
            Exchange exchange = new Exchange(from, to, call, process, done);
            process.after(timeout, () -> exchange.complete(HttpAnswer.noResponse()));
            exchange.send();
            return exchange::cancel;
        };
    }

    /** One request of one process, until its answer, its timeout or its cancellation. */
    private final class Exchange {
        private final String from;
        private final Address to;
        private final HttpCall call;
        private final SimLoop.Process process;
        private final Consumer<HttpAnswer> done;
        private boolean isComplete;

        Exchange(String from, Address to, HttpCall call, SimLoop.Process process, Consumer<HttpAnswer> done) {
            this.from = from;
            this.to = to;
            this.call = call;
            this.process = process;
            this.done = done;
        }

        void cancel() {
            isComplete = true;
        }

        void complete(HttpAnswer answer) {
            if (!isComplete) {
                isComplete = true;
                done.accept(answer);
            }
        }

        void send() {
            Delivery delivery = isRefused(from, to) ? Delivery.REFUSED : faultPolicy.deliveryOf(from, to, call);
            Runnable arrival = () -> arrive(delivery);
            switch (delivery) {
                case DELIVERED, ANSWER_LOST -> loop.after(LATENCY_NANOS, arrival);
                case SLOW -> loop.after(Durations.millis(100), arrival);
                case HELD -> held.add(arrival);
                case DUPLICATED -> {
                    loop.after(LATENCY_NANOS, arrival);
                    held.add(arrival);
                }
                case DUPLICATED_LATE -> {
                    loop.after(LATENCY_NANOS, arrival);
                    loop.after(Durations.nanos(random.nextDouble(2, 1.5 * SimulatedCluster.LEASE_S)), arrival);
                }
                case DELAYED -> loop.after(Durations.nanos(random.nextDouble(2, 12)), arrival);
                case REFUSED -> deliverAnswer(delivery, new HttpAnswer(503, new byte[0]));
                case LOST -> {}
                default -> throw new IllegalStateException("unknown delivery: " + delivery);
            }
        }

        private void arrive(Delivery delivery) {
            Server server = servers.get(to);
            if (server != null) {
                server.accept(call, answer -> answer(delivery, answer));
            }
        }

        /** The watch of a node that is refused waits, as in an outage. */
        private void answer(Delivery delivery, HttpAnswer answer) {
            if (call.target().startsWith("/follow") && isRefused(from, to)) {
                loop.after(Durations.millis(50), () -> answer(delivery, answer));
            } else {
                deliverAnswer(delivery, answer);
            }
        }

        private void deliverAnswer(Delivery delivery, HttpAnswer answer) {
            process.after(LATENCY_NANOS, () -> {
                if (delivery.isAnswered()) {
                    complete(answer);
                }
            });
        }
    }
}
