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
    public enum Fate {
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
        COPIED,
        /** It arrives, and a copy of it some seconds to more than a lease later. */
        COPIED_LATE,
        /** Its sender hears nothing; it arrives 2 to 12 seconds later. */
        LATE,
        /** It is answered 503. */
        REFUSED
    }

    /** Decides over requests. */
    public interface Weather {
        Fate fate(String from, Address to, HttpCall call);
    }

    /** Takes requests at an address. */
    public interface Server extends BiConsumer<HttpCall, Consumer<HttpAnswer>> {}

    private final SimLoop loop;
    private final Map<Address, Server> servers = new HashMap<>();
    private final List<Runnable> held = new ArrayList<>();
    private final SplittableRandom random = new SplittableRandom(1);
    private final Map<String, Long> refusedUntil = new HashMap<>();
    private Weather weather = (from, to, call) -> Fate.DELIVERED;

    SimNet(SimLoop loop) {
        this.loop = loop;
    }

    public void weather(Weather next) {
        weather = next;
    }

    /** The state service refuses this node alone for a while; its open watches wait. */
    public void refuse(String node, double seconds) {
        refusedUntil.put(node, loop.nanos() + Durations.nanos(seconds));
    }

    private boolean refused(String from, Address to) {
        return to.equals(SimulatedCluster.STATE) && loop.nanos() < refusedUntil.getOrDefault(from, Long.MIN_VALUE);
    }

    /** No message is lost or held any more, and no node refused. */
    public void clear() {
        refusedUntil.clear();
        weather = (from, to, call) -> Fate.DELIVERED;
    }

    /** Messages that are held now. */
    public int held() {
        return held.size();
    }

    /** Delivers all held messages, late. */
    public void letGo() {
        List<Runnable> late = List.copyOf(held);
        held.clear();
        late.forEach(Runnable::run);
    }

    /** Delivers the message that has been held longest, if there is one. */
    public void letOneGo() {
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
            Fate fate = refused(from, to) ? Fate.REFUSED : weather.fate(from, to, call);
            boolean heard = fate == Fate.DELIVERED
                    || fate == Fate.SLOW
                    || fate == Fate.COPIED
                    || fate == Fate.COPIED_LATE
                    || fate == Fate.REFUSED;
            Consumer<HttpAnswer> back = answer -> process.after(LATENCY, () -> {
                if (!over[0] && heard) {
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
            switch (fate) {
                case DELIVERED, ANSWER_LOST -> loop.after(LATENCY, arrive);
                case SLOW -> loop.after(Durations.millis(100), arrive);
                case HELD -> held.add(arrive);
                case COPIED -> {
                    loop.after(LATENCY, arrive);
                    held.add(arrive);
                }
                case COPIED_LATE -> {
                    loop.after(LATENCY, arrive);
                    loop.after(Durations.nanos(random.nextDouble(2, 1.5 * SimulatedCluster.LEASE_S)), arrive);
                }
                case LATE -> loop.after(Durations.nanos(random.nextDouble(2, 12)), arrive);
                case REFUSED -> back.accept(new HttpAnswer(503, new byte[0]));
                case LOST -> {}
                default -> throw new IllegalStateException("no such fate: " + fate);
            }
            return () -> over[0] = true;
        };
    }

    /** The watch of a node that is refused waits, as in an outage. */
    private void answer(String from, Address to, HttpCall call, HttpAnswer answer, Consumer<HttpAnswer> back) {
        if (call.target().startsWith("/follow") && refused(from, to)) {
            loop.after(Durations.millis(50), () -> answer(from, to, call, answer, back));
        } else {
            back.accept(answer);
        }
    }
}
