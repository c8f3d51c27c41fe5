package org.spruceridge.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.spruceridge.config.Address;
import org.spruceridge.net.HttpAnswer;
import org.spruceridge.net.HttpCall;
import org.spruceridge.net.HttpClient;
import org.spruceridge.net.Times;

/** A network in memory that can lose, hold and delay messages. */
public final class SimNet {
    private static final long LATENCY = Times.millis(1);

    /** What becomes of a request. */
    public enum Fate {
        DELIVERED,
        /** It never arrives. */
        LOST,
        /** It is carried out, and its answer never arrives. */
        ANSWER_LOST,
        /** Its sender gives up; it arrives when held messages are let go. */
        HELD,
        /** It arrives, and a copy of it when held messages are let go. */
        COPIED
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
    private Weather weather = (from, to, call) -> Fate.DELIVERED;

    SimNet(SimLoop loop) {
        this.loop = loop;
    }

    public void weather(Weather next) {
        weather = next;
    }

    public void clear() {
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
                    done.accept(HttpAnswer.silence());
                }
            });
            Fate fate = weather.fate(from, to, call);
            Consumer<HttpAnswer> back = answer -> process.after(LATENCY, () -> {
                if (!over[0] && (fate == Fate.DELIVERED || fate == Fate.COPIED)) {
                    over[0] = true;
                    done.accept(answer);
                }
            });
            Runnable arrive = () -> {
                Server server = servers.get(to);
                if (server != null) {
                    server.accept(call, back);
                }
            };
            switch (fate) {
                case DELIVERED, ANSWER_LOST -> loop.after(LATENCY, arrive);
                case HELD -> held.add(arrive);
                case COPIED -> {
                    loop.after(LATENCY, arrive);
                    held.add(arrive);
                }
                case LOST -> {}
            }
            return () -> over[0] = true;
        };
    }
}
