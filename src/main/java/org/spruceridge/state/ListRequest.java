package org.spruceridge.state;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.spruceridge.net.HttpAnswer;
import org.spruceridge.net.HttpCall;

/** Reads all keys with a prefix, page by page. */
final class ListRequest {
    /** Sends the request for one page. */
    interface Sender {
        void send(HttpCall call, Consumer<HttpAnswer> onResponse);
    }

    private final String prefix;
    private final Sender sender;
    private final StateResponses responses;
    private final Consumer<StateResult<Listing>> onResult;
    private final List<Entry> entries = new ArrayList<>();
    /** The lowest revision of all pages. Pages possibly lack changes that were made after this revision. */
    private long revision = Long.MAX_VALUE;

    private long bytes;

    ListRequest(String prefix, Sender sender, StateResponses responses, Consumer<StateResult<Listing>> onResult) {
        this.prefix = prefix;
        this.sender = sender;
        this.responses = responses;
        this.onResult = onResult;
    }

    void start() {
        requestPageAfter("");
    }

    private void requestPageAfter(String key) {
        sender.send(StateRequests.list(prefix, key), response -> {
            StateResult<StateResponses.ListingPage> page = responses.listingPage(response);
            if (page.isOk()) {
                addPage(page.value());
            } else {
                onResult.accept(StateResult.failed(page.outcome()));
            }
        });
    }

    private void addPage(StateResponses.ListingPage page) {
        entries.addAll(page.entries());
        revision = Math.min(revision, page.revision());
        bytes += page.bytes();
        if (page.truncated() && !entries.isEmpty()) {
            requestPageAfter(entries.get(entries.size() - 1).key());
        } else {
            onResult.accept(StateResult.ok(new Listing(ImmutableList.copyOf(entries), revision, bytes)));
        }
    }
}
