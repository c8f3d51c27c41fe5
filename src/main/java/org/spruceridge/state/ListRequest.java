package org.spruceridge.state;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.spruceridge.net.HttpAnswer;
import org.spruceridge.net.HttpCall;

/** Reads all keys under a prefix, one page after the other. */
final class ListRequest {
    /** Sends the request for one page. */
    interface Sender {
        void send(HttpCall call, Consumer<HttpAnswer> onAnswer);
    }

    private final String prefix;
    private final Sender sender;
    private final StateResponses responses;
    private final Consumer<StateResult<Listing>> done;
    private final List<Entry> entries = new ArrayList<>();
    /** The oldest revision of all pages: later changes may be missing from those read first. */
    private long revision = Long.MAX_VALUE;

    private long bytes;

    ListRequest(String prefix, Sender sender, StateResponses responses, Consumer<StateResult<Listing>> done) {
        this.prefix = prefix;
        this.sender = sender;
        this.responses = responses;
        this.done = done;
    }

    void start() {
        requestPageAfter("");
    }

    private void requestPageAfter(String key) {
        sender.send(StateRequests.list(prefix, key), answer -> {
            StateResult<StateResponses.ListingPage> page = responses.listingPage(answer);
            if (page.isOk()) {
                add(page.value());
            } else {
                done.accept(StateResult.failed(page.outcome()));
            }
        });
    }

    private void add(StateResponses.ListingPage page) {
        entries.addAll(page.entries());
        revision = Math.min(revision, page.revision());
        bytes += page.bytes();
        if (page.truncated() && !entries.isEmpty()) {
            requestPageAfter(entries.get(entries.size() - 1).key());
        } else {
            done.accept(StateResult.ok(new Listing(ImmutableList.copyOf(entries), revision, bytes)));
        }
    }
}
