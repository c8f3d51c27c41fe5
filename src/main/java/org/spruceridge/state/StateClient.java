package org.spruceridge.state;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spruceridge.config.Address;
import org.spruceridge.net.BadMessageException;
import org.spruceridge.net.Cancellable;
import org.spruceridge.net.Durations;
import org.spruceridge.net.HttpAnswer;
import org.spruceridge.net.HttpCall;
import org.spruceridge.net.HttpClient;
import org.spruceridge.net.Json;
import org.spruceridge.net.Latencies;
import org.spruceridge.net.Loop;
import org.spruceridge.net.RateLimitedWarnings;
import org.spruceridge.net.RateLimiter;
import org.spruceridge.net.RateLimiter.Priority;

/** The state service's protocol with typed messages, within this node's share of its limits. */
public final class StateClient {
    private static final Logger LOG = LoggerFactory.getLogger(StateClient.class);
    private static final int PAGE = 500;
    private static final int TOO_MANY_REQUESTS = 429;
    /** Responses usually take under 10 ms and occasionally a few hundred. */
    private static final long REQUEST_TIMEOUT = Durations.millis(1000);
    /** A watch may answer this much after the time that it was asked to wait. */
    private static final long WATCH_SLACK = Durations.nanos(5);

    private final Loop loop;
    private final HttpClient http;
    private final Address address;
    private final RateLimiter limiter;
    private final RateLimitedWarnings warnings;
    private final Latencies latencies;
    private Runnable rateExceeded = () -> {};
    private long lastServed;
    private boolean hasEverBeenServed;

    /** Requests go to {@code address}, within the limits of {@code limiter}. */
    public StateClient(
            Loop loop,
            HttpClient http,
            Address address,
            RateLimiter limiter,
            RateLimitedWarnings warnings,
            Latencies latencies) {
        this.loop = loop;
        this.http = http;
        this.address = address;
        this.limiter = limiter;
        this.warnings = warnings;
        this.latencies = latencies;
        this.lastServed = loop.nanos();
    }

    /** {@code listener} runs whenever the service says that it was asked for more than its limits. */
    public void onRateExceeded(Runnable listener) {
        rateExceeded = listener;
    }

    /** Nanoseconds since the service last carried out or judged a request of ours. */
    public long nanosSinceLastServed() {
        return loop.nanos() - lastServed;
    }

    /** True once the service has answered at all. */
    public boolean hasEverBeenServed() {
        return hasEverBeenServed;
    }

    /** Reads one key. */
    public void get(String key, Priority priority, Consumer<StateResult<Entry>> done) {
        send(
                priority,
                0,
                HttpCall.get("/store/" + key),
                REQUEST_TIMEOUT,
                answer -> done.accept(readEntry(key, answer)));
    }

    /** Reads all keys under a prefix, page by page. */
    public void list(String prefix, Priority priority, Consumer<StateResult<Listing>> done) {
        listPage(prefix, priority, "", new PartialListing(), done);
    }

    private void listPage(
            String prefix, Priority priority, String from, PartialListing read, Consumer<StateResult<Listing>> done) {
        String target = "/store?starts=" + prefix + (from.isEmpty() ? "" : "&from=" + from) + "&limit=" + PAGE;
        send(priority, 0, HttpCall.get(target), REQUEST_TIMEOUT, answer -> {
            if (answer.status() != 200) {
                done.accept(StateResult.failed(StateResult.Outcome.UNAVAILABLE));
                return;
            }
            try {
                JsonNode body = Json.object(answer.body());
                for (JsonNode item : Json.list(body, "entries")) {
                    read.entries.add(
                            new Entry(Json.text(item, "k"), item.path("v"), Json.nonNegativeLong(item, "stamp")));
                }
                read.revision = Math.min(read.revision, Json.nonNegativeLong(body, "ring"));
                read.bytes += answer.body().length;
                if (body.path("truncated").asBoolean() && !read.entries.isEmpty()) {
                    listPage(prefix, priority, read.lastKey(), read, done);
                } else {
                    done.accept(StateResult.ok(read.complete()));
                }
            } catch (BadMessageException e) {
                unreadable(e);
                done.accept(StateResult.failed(StateResult.Outcome.UNAVAILABLE));
            }
        });
    }

    /** The pages of a listing that have come so far. */
    private static final class PartialListing {
        private final List<Entry> entries = new ArrayList<>();
        private long revision = Long.MAX_VALUE;
        private long bytes;

        String lastKey() {
            return entries.get(entries.size() - 1).key();
        }

        Listing complete() {
            return new Listing(ImmutableList.copyOf(entries), revision, bytes);
        }
    }

    /** Commits a transaction. */
    public void commit(Transaction txn, Priority priority, Consumer<TransactionResult> done) {
        send(priority, txn.changeCount(), HttpCall.post("/txn", txn.body()), REQUEST_TIMEOUT, judged(done));
    }

    /**
     * Commits a transaction that is made only when its turn comes, of at most so many changes, so that it carries all
     * that has gathered by then. With null nothing is sent, and {@code done} is not called.
     */
    public void commitWhenAdmitted(
            Priority priority, int mostChanges, Supplier<Transaction> make, Consumer<TransactionResult> done) {
        boolean taken = limiter.submit(priority, mostChanges, () -> {
            Transaction txn = make.get();
            if (txn == null) {
                return 0;
            }
            http.call(address, HttpCall.post("/txn", txn.body()), REQUEST_TIMEOUT, timed(served(judged(done))));
            return txn.changeCount();
        });
        if (!taken) {
            done.accept(TransactionResult.of(TransactionResult.Outcome.NOT_EXECUTED));
        }
    }

    private Consumer<HttpAnswer> judged(Consumer<TransactionResult> done) {
        return answer -> {
            TransactionResult result = readTxn(answer);
            if (result.outcome() == TransactionResult.Outcome.MALFORMED) {
                LOG.error("the state service calls a transaction malformed: {}", new String(answer.body()));
            }
            done.accept(result);
        };
    }

    /** Asks for a grant of this time to live. */
    public void createLease(long ttlMillis, Consumer<StateResult<Long>> done) {
        byte[] body = Json.bytes(Json.object().put("ttlMs", ttlMillis));
        send(Priority.LEASE_RENEWAL, 0, HttpCall.post("/grants", body), REQUEST_TIMEOUT, answer -> {
            if (answer.status() != 200) {
                done.accept(StateResult.failed(StateResult.Outcome.UNAVAILABLE));
                return;
            }
            try {
                done.accept(StateResult.ok(Json.nonNegativeLong(Json.object(answer.body()), "permit")));
            } catch (BadMessageException e) {
                unreadable(e);
                done.accept(StateResult.failed(StateResult.Outcome.UNAVAILABLE));
            }
        });
    }

    /** Renews a grant; MISSING means that it has ended. The answer carries the moment at which the call was sent. */
    public void renewLease(long leaseId, long timeout, Consumer<StateResult<Long>> done) {
        HttpCall call = HttpCall.post("/grants/" + leaseId + "/renew", new byte[0]);
        long[] sent = new long[1];
        submit(Priority.LEASE_RENEWAL, 0, done, () -> {
            sent[0] = loop.nanos();
            http.call(address, call, timeout, served(answer -> {
                if (answer.status() == 200) {
                    done.accept(StateResult.ok(sent[0]));
                } else {
                    done.accept(StateResult.failed(
                            answer.status() == 404 ? StateResult.Outcome.NOT_FOUND : StateResult.Outcome.UNAVAILABLE));
                }
            }));
        });
    }

    /** Ends a grant, and with it the keys attached to it; nothing depends on whether it works. */
    public void revokeLease(long leaseId) {
        send(
                Priority.LEASE_RENEWAL,
                0,
                new HttpCall("DELETE", "/grants/" + leaseId, new byte[0]),
                REQUEST_TIMEOUT,
                answer -> {});
    }

    /** Waits for changes after a revision. */
    public Cancellable watch(String prefix, long from, double blockS, Consumer<StateResult<Changes>> done) {
        long blockMs = (long) (blockS * 1000);
        String target = "/follow?starts=" + prefix + "&from=" + from + "&blockMs=" + blockMs;
        CancelLater later = new CancelLater();
        boolean taken = limiter.submit(Priority.LEASE_RENEWAL, 0, () -> {
            if (!later.cancelled) {
                later.call = http.call(
                        address,
                        HttpCall.get(target),
                        Durations.millis(blockMs) + WATCH_SLACK,
                        served(answer -> done.accept(readChanges(answer))));
            }
        });
        if (!taken) {
            loop.after(REQUEST_TIMEOUT, () -> done.accept(StateResult.failed(StateResult.Outcome.UNAVAILABLE)));
        }
        return later;
    }

    private static final class CancelLater implements Cancellable {
        private boolean cancelled;
        private Cancellable call;

        @Override
        public void cancel() {
            cancelled = true;
            if (call != null) {
                call.cancel();
            }
        }
    }

    private void send(Priority priority, int changes, HttpCall call, long timeout, Consumer<HttpAnswer> done) {
        boolean taken = limiter.submit(priority, changes, () -> http.call(address, call, timeout, timed(served(done))));
        if (!taken) {
            done.accept(new HttpAnswer(429, new byte[0])); // as good as refused: it was never sent
        }
    }

    private <T> void submit(Priority priority, int changes, Consumer<StateResult<T>> done, Runnable work) {
        if (!limiter.submit(priority, changes, work)) {
            done.accept(StateResult.failed(StateResult.Outcome.UNAVAILABLE));
        }
    }

    private Consumer<HttpAnswer> timed(Consumer<HttpAnswer> done) {
        long sent = loop.nanos();
        return answer -> {
            latencies.record(Latencies.Kind.STATE, loop.nanos() - sent);
            done.accept(answer);
        };
    }

    private Consumer<HttpAnswer> served(Consumer<HttpAnswer> done) {
        return answer -> {
            if (answer.hasResponse() && answer.status() != 503) {
                lastServed = loop.nanos();
                hasEverBeenServed = true;
            }
            if (answer.status() == TOO_MANY_REQUESTS) {
                rateExceeded.run();
            }
            done.accept(answer);
        };
    }

    private StateResult<Entry> readEntry(String key, HttpAnswer answer) {
        if (answer.status() == 404) {
            return StateResult.failed(StateResult.Outcome.NOT_FOUND);
        }
        if (answer.status() != 200) {
            return StateResult.failed(StateResult.Outcome.UNAVAILABLE);
        }
        try {
            JsonNode body = Json.object(answer.body());
            return StateResult.ok(new Entry(key, body.path("v"), Json.nonNegativeLong(body, "stamp")));
        } catch (BadMessageException e) {
            unreadable(e);
            return StateResult.failed(StateResult.Outcome.UNAVAILABLE);
        }
    }

    private TransactionResult readTxn(HttpAnswer answer) {
        try {
            switch (answer.status()) {
                case 200:
                    return new TransactionResult(
                            TransactionResult.Outcome.COMMITTED,
                            Json.nonNegativeLong(Json.object(answer.body()), "ring"),
                            ImmutableList.of());
                case 409:
                    ImmutableList.Builder<String> failed = ImmutableList.builder();
                    Json.list(Json.object(answer.body()), "failed").forEach(k -> failed.add(k.asText()));
                    return new TransactionResult(TransactionResult.Outcome.CONFLICT, 0, failed.build());
                case 400:
                    boolean noGrant = new String(answer.body()).contains("no such lease");
                    return TransactionResult.of(
                            noGrant ? TransactionResult.Outcome.LEASE_NOT_FOUND : TransactionResult.Outcome.MALFORMED);
                case TOO_MANY_REQUESTS, 503:
                    return TransactionResult.of(TransactionResult.Outcome.NOT_EXECUTED);
                default:
                    return TransactionResult.of(TransactionResult.Outcome.UNKNOWN);
            }
        } catch (BadMessageException e) {
            unreadable(e);
            return TransactionResult.of(TransactionResult.Outcome.UNKNOWN);
        }
    }

    private StateResult<Changes> readChanges(HttpAnswer answer) {
        if (answer.status() == 410) {
            return StateResult.failed(StateResult.Outcome.REVISION_COMPACTED);
        }
        if (answer.status() != 200) {
            return StateResult.failed(StateResult.Outcome.UNAVAILABLE);
        }
        try {
            JsonNode body = Json.object(answer.body());
            ImmutableList.Builder<Change> out = ImmutableList.builder();
            for (JsonNode item : Json.list(body, "log")) {
                boolean set = item.has("set");
                String key = Json.text(item, set ? "set" : "drop");
                out.add(new Change(key, set ? item.path("v") : null, Json.nonNegativeLong(item, "stamp")));
            }
            return StateResult.ok(new Changes(out.build(), Json.nonNegativeLong(body, "ring")));
        } catch (BadMessageException e) {
            unreadable(e);
            return StateResult.failed(StateResult.Outcome.UNAVAILABLE);
        }
    }

    private void unreadable(BadMessageException e) {
        warnings.warn("unreadable answer of the state service", e.getMessage());
    }
}
