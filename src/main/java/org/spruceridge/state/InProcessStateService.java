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
 * An in-process stand-in for the state service, used by the warm-up: it answers listings with given entries, reports every
 * transaction as committed and stores nothing. It opens no connection.
 */
public final class InProcessStateService implements HttpClient {
    private final Loop loop;
    private final Function<String, List<Entry>> entries;
    private long revision;

    /** {@code entries} returns the entries under a key prefix. */
    public InProcessStateService(Loop loop, Function<String, List<Entry>> entries) {
        this.loop = loop;
        this.entries = entries;
    }

    @Override
    public Cancellable call(Address to, HttpCall call, long timeoutNanos, Consumer<HttpAnswer> done) {
        boolean isListing = call.target().startsWith(StateRequests.LIST_TARGET);
        ObjectNode body = isListing ? listing(call.target()) : Json.object().put("ring", ++revision);
        byte[] bytes = Json.bytes(body);
        return loop.after(0, () -> done.accept(new HttpAnswer(200, bytes)));
    }

    private ObjectNode listing(String target) {
        String prefix = target.substring(StateRequests.LIST_TARGET.length(), target.indexOf('&'));
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
