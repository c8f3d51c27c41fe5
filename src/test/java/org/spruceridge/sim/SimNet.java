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

/** An in-memory network that can lose, hold, duplicate and delay messages. */
public final class SimNet {
    private static final long LATENCY_NANOS = Durations.millis(1);
    private static final long REQUEST_DELAY_NANOS = Durations.nanos(2);
    /** Shorter than the 4 s after which a worker ignores the response to a heartbeat. */
    private static final long RESPONSE_DELAY_NANOS = Durations.nanos(3);

    /** How the network delivers a request. */
    public enum Delivery {
        DELIVERED,
        /** The request arrives after 100 ms instead of 1 ms. */
        SLOW,
        /** The request arrives after 2 s, and its response arrives. */
        REQUEST_DELAYED,
        /** The request arrives, and its response arrives 3 s later. */
        RESPONSE_DELAYED,
        /** The request never arrives. */
        LOST,
        /** The request is processed, but its response never arrives. */
        RESPONSE_LOST,
        /** The request arrives only when held messages are delivered; the sender gets no response. */
        HELD,
        /** The request arrives, and a duplicate of it arrives when held messages are delivered. */
        DUPLICATED,
        /** The request arrives, and a duplicate of it arrives 2 s to 1.5 lease durations later. */
        DUPLICATED_LATE,
        /** The sender gets no response; the request arrives 2 s to 12 s later. */
        DELAYED,
        /** The request is answered with 503 and does not arrive. */
        REFUSED;

        private boolean isAnswered() {
            return switch (this) {
                case DELIVERED, SLOW, REQUEST_DELAYED, RESPONSE_DELAYED, DUPLICATED, DUPLICATED_LATE, REFUSED -> true;
                case LOST, RESPONSE_LOST, HELD, DELAYED -> false;
            };
        }
    }

    /** Decides how each request is delivered. */
    public interface FaultPolicy {
        Delivery deliveryOf(String from, Address to, HttpCall call);
    }

    /** Handles the requests that arrive at an address. */
    public interface Server extends BiConsumer<HttpCall, Consumer<HttpAnswer>> {}

    private final SimLoop loop;
    private final Map<Address, Server> servers = new HashMap<>();
    private final List<Runnable> heldMessages = new ArrayList<>();
    private final SplittableRandom random = new SplittableRandom(1);
    private final Map<String, Long> refusedUntil = new HashMap<>();
    private FaultPolicy faultPolicy = (from, to, call) -> Delivery.DELIVERED;

    SimNet(SimLoop loop) {
        this.loop = loop;
    }

    /** Lets the policy decide how each request is delivered from now on. */
    public void injectFaults(FaultPolicy policy) {
        faultPolicy = policy;
    }

    /**
     * Answers 503 to this node's requests to the state service for {@code seconds}. Responses to the node's open
     * watches are withheld until that time is over.
     */
    public void refuseStateRequests(String node, double seconds) {
        refusedUntil.put(node, loop.nanos() + Durations.nanos(seconds));
    }

    private boolean isRefused(String from, Address to) {
        return to.equals(SimulatedCluster.STATE_ADDRESS)
                && loop.nanos() < refusedUntil.getOrDefault(from, Long.MIN_VALUE);
    }

    /** Ends all faults: requests from now on are delivered, and no node is refused. Held messages stay held. */
    public void clearFaults() {
        refusedUntil.clear();
        faultPolicy = (from, to, call) -> Delivery.DELIVERED;
    }

    /** The number of held messages. */
    public int heldCount() {
        return heldMessages.size();
    }

    /** Delivers all held messages, in the order in which they were held. */
    public void deliverHeld() {
        List<Runnable> messages = List.copyOf(heldMessages);
        heldMessages.clear();
        messages.forEach(Runnable::run);
    }

    /** Delivers the message that was held first, if any. */
    public void deliverOldestHeld() {
        if (!heldMessages.isEmpty()) {
            heldMessages.remove(0).run();
        }
    }

    void serve(Address address, Server server) {
        servers.put(address, server);
    }

    void removeServer(Address address) {
        servers.remove(address);
    }

    /**
     * Returns an HTTP client that sends the requests of a process through this network; {@code from} names the process.
     */
    HttpClient client(String from, SimLoop.ProcessLoop process) {
        return (to, call, timeout, onResponse) -> {
            Exchange exchange = new Exchange(from, to, call, process, onResponse);
            process.after(timeout, () -> exchange.complete(HttpAnswer.noResponse()));
            exchange.send();
            return exchange::cancel;
        };
    }

    /** Tracks one request of a process until the response arrives, the request times out or the process cancels it. */
    private final class Exchange {
        private final String from;
        private final Address to;
        private final HttpCall call;
        private final SimLoop.ProcessLoop process;
        private final Consumer<HttpAnswer> onResponse;
        private boolean isComplete;

        Exchange(String from, Address to, HttpCall call, SimLoop.ProcessLoop process, Consumer<HttpAnswer> onResponse) {
            this.from = from;
            this.to = to;
            this.call = call;
            this.process = process;
            this.onResponse = onResponse;
        }

        void cancel() {
            isComplete = true;
        }

        void complete(HttpAnswer response) {
            if (!isComplete) {
                isComplete = true;
                onResponse.accept(response);
            }
        }

        void send() {
            Delivery delivery = isRefused(from, to) ? Delivery.REFUSED : faultPolicy.deliveryOf(from, to, call);
            Runnable arrival = () -> arrive(delivery);
            switch (delivery) {
                case DELIVERED, RESPONSE_LOST, RESPONSE_DELAYED -> loop.after(LATENCY_NANOS, arrival);
                case SLOW -> loop.after(Durations.millis(100), arrival);
                case REQUEST_DELAYED -> loop.after(REQUEST_DELAY_NANOS, arrival);
                case HELD -> heldMessages.add(arrival);
                case DUPLICATED -> {
                    loop.after(LATENCY_NANOS, arrival);
                    heldMessages.add(arrival);
                }
                case DUPLICATED_LATE -> {
                    loop.after(LATENCY_NANOS, arrival);
                    loop.after(Durations.nanos(random.nextDouble(2, 1.5 * SimulatedCluster.LEASE_S)), arrival);
                }
                case DELAYED -> loop.after(Durations.nanos(random.nextDouble(2, 12)), arrival);
                case REFUSED -> deliverResponse(delivery, new HttpAnswer(503, new byte[0]));
                case LOST -> {}
                default -> throw new IllegalStateException("unknown delivery: " + delivery);
            }
        }

        private void arrive(Delivery delivery) {
            Server server = servers.get(to);
            if (server != null) {
                server.accept(call, response -> onServerResponse(delivery, response));
            }
        }

        /**
         * Withholds responses to watches of a refused node, because the state service answers no watch in an outage.
         */
        private void onServerResponse(Delivery delivery, HttpAnswer response) {
            if (call.target().startsWith("/follow") && isRefused(from, to)) {
                loop.after(Durations.millis(50), () -> onServerResponse(delivery, response));
            } else {
                deliverResponse(delivery, response);
            }
        }

        private void deliverResponse(Delivery delivery, HttpAnswer response) {
            process.after(delivery == Delivery.RESPONSE_DELAYED ? RESPONSE_DELAY_NANOS : LATENCY_NANOS, () -> {
                if (delivery.isAnswered()) {
                    complete(response);
                }
            });
        }
    }
}
