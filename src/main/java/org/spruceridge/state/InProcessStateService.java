package org.spruceridge.state;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Function;
import org.spruceridge.config.Address;
import org.spruceridge.net.Cancellable;
import org.spruceridge.net.HttpAnswer;
import org.spruceridge.net.HttpCall;
import org.spruceridge.net.HttpClient;
import org.spruceridge.net.Json;
import org.spruceridge.net.Loop;

/**
 * A state service within the process, for warming up: it answers listings with given entries, says yes to every
 * transaction and keeps nothing. No connection is opened.
 */
public final class InProcessStateService implements HttpClient {
    private static final String LIST = "/store?starts=";

    private final Loop loop;
    private final Function<String, List<Entry>> entries;
    private long revision;

    /** {@code entries} gives the content of a key prefix. */
    public InProcessStateService(Loop loop, Function<String, List<Entry>> entries) {
        this.loop = loop;
        this.entries = entries;
    }

    @Override
    public Cancellable call(Address to, HttpCall call, long timeoutNanos, Consumer<HttpAnswer> done) {
        boolean lists = call.target().startsWith(LIST);
        ObjectNode body = lists ? listing(call.target()) : Json.object().put("ring", ++revision);
        byte[] bytes = Json.bytes(body);
        return loop.after(0, () -> done.accept(new HttpAnswer(200, bytes)));
    }

    private ObjectNode listing(String target) {
        String prefix = target.substring(LIST.length(), target.indexOf('&'));
        ObjectNode body = Json.object();
        ArrayNode list = body.putArray("entries");
        for (Entry entry : entries.apply(prefix)) {
            list.addObject()
                    .put("k", entry.key())
                    .put("stamp", entry.modRevision())
                    .set("v", entry.value());
        }
        return body.put("truncated", false).put("ring", revision);
    }
}
