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
    private boolean everServed;

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
    public long sinceServed() {
        return loop.nanos() - lastServed;
    }

    /** True once the service has answered at all. */
    public boolean everServed() {
        return everServed;
    }

    /** Reads one key. */
    public void get(String key, Priority priority, Consumer<Result<Entry>> done) {
        send(
                priority,
                0,
                HttpCall.get("/store/" + key),
                REQUEST_TIMEOUT,
                answer -> done.accept(readEntry(key, answer)));
    }

    /** Reads all keys under a prefix, page by page. */
    public void list(String prefix, Priority priority, Consumer<Result<Listing>> done) {
        listPage(prefix, priority, "", new PartialListing(), done);
    }

    private void listPage(
            String prefix, Priority priority, String from, PartialListing read, Consumer<Result<Listing>> done) {
        String target = "/store?starts=" + prefix + (from.isEmpty() ? "" : "&from=" + from) + "&limit=" + PAGE;
        send(priority, 0, HttpCall.get(target), REQUEST_TIMEOUT, answer -> {
            if (answer.status() != 200) {
                done.accept(Result.failed(Result.Kind.UNAVAILABLE));
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
                    done.accept(Result.ok(read.complete()));
                }
            } catch (BadMessageException e) {
                unreadable(e);
                done.accept(Result.failed(Result.Kind.UNAVAILABLE));
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
    public void commitAtTurn(
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
            done.accept(TransactionResult.of(TransactionResult.Kind.REFUSED));
        }
    }

    private Consumer<HttpAnswer> judged(Consumer<TransactionResult> done) {
        return answer -> {
            TransactionResult result = readTxn(answer);
            if (result.kind() == TransactionResult.Kind.REJECTED) {
                LOG.error("the state service calls a transaction malformed: {}", new String(answer.body()));
            }
            done.accept(result);
        };
    }

    /** Asks for a grant of this time to live. */
    public void createLease(long ttlMillis, Consumer<Result<Long>> done) {
        byte[] body = Json.bytes(Json.object().put("ttlMs", ttlMillis));
        send(Priority.LEASE_RENEWAL, 0, HttpCall.post("/grants", body), REQUEST_TIMEOUT, answer -> {
            if (answer.status() != 200) {
                done.accept(Result.failed(Result.Kind.UNAVAILABLE));
                return;
            }
            try {
                done.accept(Result.ok(Json.nonNegativeLong(Json.object(answer.body()), "permit")));
            } catch (BadMessageException e) {
                unreadable(e);
                done.accept(Result.failed(Result.Kind.UNAVAILABLE));
            }
        });
    }

    /** Renews a grant; MISSING means that it has ended. The answer carries the moment at which the call was sent. */
    public void renewLease(long leaseId, long timeout, Consumer<Result<Long>> done) {
        HttpCall call = HttpCall.post("/grants/" + leaseId + "/renew", new byte[0]);
        long[] sent = new long[1];
        submit(Priority.LEASE_RENEWAL, 0, done, () -> {
            sent[0] = loop.nanos();
            http.call(address, call, timeout, served(answer -> {
                if (answer.status() == 200) {
                    done.accept(Result.ok(sent[0]));
                } else {
                    done.accept(Result.failed(answer.status() == 404 ? Result.Kind.MISSING : Result.Kind.UNAVAILABLE));
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
    public Cancellable watch(String prefix, long from, double blockS, Consumer<Result<Changes>> done) {
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
            loop.after(REQUEST_TIMEOUT, () -> done.accept(Result.failed(Result.Kind.UNAVAILABLE)));
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

    private <T> void submit(Priority priority, int changes, Consumer<Result<T>> done, Runnable work) {
        if (!limiter.submit(priority, changes, work)) {
            done.accept(Result.failed(Result.Kind.UNAVAILABLE));
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
                everServed = true;
            }
            if (answer.status() == TOO_MANY_REQUESTS) {
                rateExceeded.run();
            }
            done.accept(answer);
        };
    }

    private Result<Entry> readEntry(String key, HttpAnswer answer) {
        if (answer.status() == 404) {
            return Result.failed(Result.Kind.MISSING);
        }
        if (answer.status() != 200) {
            return Result.failed(Result.Kind.UNAVAILABLE);
        }
        try {
            JsonNode body = Json.object(answer.body());
            return Result.ok(new Entry(key, body.path("v"), Json.nonNegativeLong(body, "stamp")));
        } catch (BadMessageException e) {
            unreadable(e);
            return Result.failed(Result.Kind.UNAVAILABLE);
        }
    }

    private TransactionResult readTxn(HttpAnswer answer) {
        try {
            switch (answer.status()) {
                case 200:
                    return new TransactionResult(
                            TransactionResult.Kind.COMMITTED,
                            Json.nonNegativeLong(Json.object(answer.body()), "ring"),
                            ImmutableList.of());
                case 409:
                    ImmutableList.Builder<String> failed = ImmutableList.builder();
                    Json.list(Json.object(answer.body()), "failed").forEach(k -> failed.add(k.asText()));
                    return new TransactionResult(TransactionResult.Kind.CONFLICT, 0, failed.build());
                case 400:
                    boolean noGrant = new String(answer.body()).contains("no such lease");
                    return TransactionResult.of(
                            noGrant ? TransactionResult.Kind.LEASE_NOT_FOUND : TransactionResult.Kind.REJECTED);
                case TOO_MANY_REQUESTS, 503:
                    return TransactionResult.of(TransactionResult.Kind.REFUSED);
                default:
                    return TransactionResult.of(TransactionResult.Kind.UNKNOWN);
            }
        } catch (BadMessageException e) {
            unreadable(e);
            return TransactionResult.of(TransactionResult.Kind.UNKNOWN);
        }
    }

    private Result<Changes> readChanges(HttpAnswer answer) {
        if (answer.status() == 410) {
            return Result.failed(Result.Kind.TOO_OLD);
        }
        if (answer.status() != 200) {
            return Result.failed(Result.Kind.UNAVAILABLE);
        }
        try {
            JsonNode body = Json.object(answer.body());
            ImmutableList.Builder<Change> out = ImmutableList.builder();
            for (JsonNode item : Json.list(body, "log")) {
                boolean set = item.has("set");
                String key = Json.text(item, set ? "set" : "drop");
                out.add(new Change(key, set ? item.path("v") : null, Json.nonNegativeLong(item, "stamp")));
            }
            return Result.ok(new Changes(out.build(), Json.nonNegativeLong(body, "ring")));
        } catch (BadMessageException e) {
            unreadable(e);
            return Result.failed(Result.Kind.UNAVAILABLE);
        }
    }

    private void unreadable(BadMessageException e) {
        warnings.warn("unreadable answer of the state service", e.getMessage());
    }
}
