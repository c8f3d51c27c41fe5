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
 * An in-process stub of the state service for the warm-up. The stub answers listings with given entries and reports
 * every transaction as committed. It stores nothing and opens no connections.
 */
public final class InProcessStateService implements HttpClient {
    private final Loop loop;
    private final Function<String, List<Entry>> entries;
    private long revision;

    /** Creates a stub; {@code entries} returns the entries whose keys have the given prefix. */
    public InProcessStateService(Loop loop, Function<String, List<Entry>> entries) {
        this.loop = loop;
        this.entries = entries;
    }

    @Override
    public Cancellable call(Address to, HttpCall call, long timeoutNanos, Consumer<HttpAnswer> onResponse) {
        boolean isListing = call.target().startsWith(StateRequests.LIST_TARGET);
        ObjectNode body = isListing ? listing(call.target()) : Json.object().put("ring", ++revision);
        byte[] bytes = Json.bytes(body);
        return loop.after(0, () -> onResponse.accept(new HttpAnswer(200, bytes)));
    }

    private ObjectNode listing(String target) {
        String prefix = target.substring(StateRequests.LIST_TARGET.length(), target.indexOf('&'));
        ObjectNode body = Json.object();
        ArrayNode entryArray = body.putArray("entries");
        for (Entry entry : entries.apply(prefix)) {
            entryArray
                    .addObject()
                    .put("k", entry.key())
                    .put("stamp", entry.modRevision())
                    .set("v", entry.value());
        }
        return body.put("truncated", false).put("ring", revision);
    }
}
