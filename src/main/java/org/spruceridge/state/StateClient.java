package org.spruceridge.state;

import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spruceridge.config.Address;
import org.spruceridge.net.Cancellable;
import org.spruceridge.net.Durations;
import org.spruceridge.net.HttpAnswer;
import org.spruceridge.net.HttpCall;
import org.spruceridge.net.HttpClient;
import org.spruceridge.net.Latencies;
import org.spruceridge.net.Loop;
import org.spruceridge.net.RateLimitedWarnings;
import org.spruceridge.net.RateLimiter;
import org.spruceridge.net.RateLimiter.Priority;

/**
 * Client of the state service, the consensus-backed key-value store. Every request waits until this node's rate limiter
 * admits the request. The client does not retry: callers decide how to handle an unknown outcome. All callbacks run on
 * the event loop.
 */
public final class StateClient {
    private static final Logger LOG = LoggerFactory.getLogger(StateClient.class);
    /** Well above the usual response time, which is under 10 ms and occasionally a few hundred milliseconds. */
    private static final long REQUEST_TIMEOUT_NANOS = Durations.millis(1000);
    /** The time after the requested blocking time within which the response to a watch must arrive. */
    private static final long WATCH_TIMEOUT_SLACK_NANOS = Durations.nanos(5);

    private static final HttpAnswer NOT_ADMITTED = new HttpAnswer(StateResponses.TOO_MANY_REQUESTS, new byte[0]);

    private final Loop loop;
    private final HttpClient http;
    private final Address address;
    private final RateLimiter limiter;
    private final Latencies latencies;
    private final StateResponses responses;
    private final StateServiceAvailability availability;
    private Runnable rateExceededListener = () -> {};

    /** Creates a client that sends requests to {@code address} at the rates that {@code limiter} allows. */
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
        this.latencies = latencies;
        this.responses = new StateResponses(warnings);
        this.availability = new StateServiceAvailability(loop);
    }

    /** Sets the listener that runs whenever the service answers with status 429: its rate limit was exceeded. */
    public void onRateExceeded(Runnable listener) {
        rateExceededListener = listener;
    }

    /** The nanoseconds since the service last executed or rejected a request of this node. */
    public long nanosSinceLastServed() {
        return availability.nanosSinceLastServed();
    }

    /** True once the service has executed or rejected a request of this node. */
    public boolean hasEverBeenServed() {
        return availability.hasEverServed();
    }

    /** Reads one key. */
    public void get(String key, Priority priority, Consumer<StateResult<Entry>> onResult) {
        send(priority, 0, StateRequests.get(key), response -> onResult.accept(responses.entry(key, response)));
    }

    /** Reads all keys with a prefix, page by page. */
    public void list(String prefix, Priority priority, Consumer<StateResult<Listing>> onResult) {
        new ListRequest(prefix, (call, onResponse) -> send(priority, 0, call, onResponse), responses, onResult).start();
    }

    /** Sends a transaction to be committed. The result says whether its changes were applied. */
    public void commit(Transaction transaction, Priority priority, Consumer<TransactionResult> onResult) {
        send(priority, transaction.changeCount(), StateRequests.commit(transaction), transactionCallback(onResult));
    }

    /**
     * Commits a transaction that {@code composer} creates only when the rate limiter admits the request. The
     * transaction therefore contains all changes collected by then, at most {@code maxChanges}. If {@code composer}
     * returns no transaction, nothing is sent and {@code onResult} is not called.
     */
    public void commitWhenAdmitted(
            Priority priority,
            int maxChanges,
            Supplier<Optional<Transaction>> composer,
            Consumer<TransactionResult> onResult) {
        boolean queued = limiter.submit(priority, maxChanges, () -> {
            Optional<Transaction> transaction = composer.get();
            if (transaction.isEmpty()) {
                return 0;
            }
            sendNow(StateRequests.commit(transaction.get()), transactionCallback(onResult));
            return transaction.get().changeCount();
        });
        if (!queued) {
            onResult.accept(TransactionResult.of(TransactionResult.Outcome.NOT_EXECUTED));
        }
    }

    /** Creates a lease with the given time to live in milliseconds. The result is the lease id. */
    public void createLease(long ttlMillis, Consumer<StateResult<Long>> onResult) {
        send(
                Priority.LEASE_RENEWAL,
                0,
                StateRequests.createLease(ttlMillis),
                response -> onResult.accept(responses.createdLease(response)));
    }

    /**
     * Renews a lease. The outcome NOT_FOUND means that the lease has expired. The result is the time at which the
     * request was sent, in monotonic nanoseconds. The renewed time to live starts at that time or later.
     */
    public void renewLease(long leaseId, long timeoutNanos, Consumer<StateResult<Long>> onResult) {
        boolean queued = limiter.submit(Priority.LEASE_RENEWAL, 0, () -> {
            long sentAt = loop.nanos();
            http.call(
                    address,
                    StateRequests.renewLease(leaseId),
                    timeoutNanos,
                    recordingAvailability(response -> onResult.accept(StateResponses.renewedLease(response, sentAt))));
        });
        if (!queued) {
            onResult.accept(StateResult.failed(StateResult.Outcome.UNAVAILABLE));
        }
    }

    /** Revokes a lease, which deletes the keys attached to the lease. The result of the request is ignored. */
    public void revokeLease(long leaseId) {
        send(Priority.LEASE_RENEWAL, 0, StateRequests.revokeLease(leaseId), response -> {});
    }

    /** Waits up to {@code blockS} seconds for changes after {@code fromRevision} to keys with the given prefix. */
    public Cancellable watch(String prefix, long fromRevision, double blockS, Consumer<StateResult<Changes>> onResult) {
        long blockMs = (long) (blockS * 1000);
        WatchRequest request = new WatchRequest();
        boolean queued = limiter.submit(Priority.LEASE_RENEWAL, 0, () -> {
            if (!request.isCancelled()) {
                request.attach(http.call(
                        address,
                        StateRequests.watch(prefix, fromRevision, blockMs),
                        Durations.millis((double) blockMs) + WATCH_TIMEOUT_SLACK_NANOS,
                        recordingAvailability(response -> onResult.accept(responses.changes(response)))));
            }
        });
        if (!queued) {
            loop.after(
                    REQUEST_TIMEOUT_NANOS, () -> onResult.accept(StateResult.failed(StateResult.Outcome.UNAVAILABLE)));
        }
        return request;
    }

    private Consumer<HttpAnswer> transactionCallback(Consumer<TransactionResult> onResult) {
        return response -> {
            TransactionResult result = responses.transaction(response);
            if (result.outcome() == TransactionResult.Outcome.MALFORMED) {
                LOG.error("transaction rejected as malformed reason={}", StateResponses.bodyText(response));
            }
            onResult.accept(result);
        };
    }

    private void send(Priority priority, int changes, HttpCall call, Consumer<HttpAnswer> onResponse) {
        boolean queued = limiter.submit(priority, changes, () -> sendNow(call, onResponse));
        if (!queued) {
            onResponse.accept(NOT_ADMITTED); // a request that was never sent is reported like a rejection
        }
    }

    private void sendNow(HttpCall call, Consumer<HttpAnswer> onResponse) {
        http.call(address, call, REQUEST_TIMEOUT_NANOS, recordingLatency(recordingAvailability(onResponse)));
    }

    /** Records the latency of a request without the wait for the rate limiter. Not used for watches and renewals. */
    private Consumer<HttpAnswer> recordingLatency(Consumer<HttpAnswer> onResponse) {
        long sentAt = loop.nanos();
        return response -> {
            latencies.record(Latencies.Kind.STATE, loop.nanos() - sentAt);
            onResponse.accept(response);
        };
    }

    /** Records whether the service is available. Runs the listener if the rate limit was exceeded. */
    private Consumer<HttpAnswer> recordingAvailability(Consumer<HttpAnswer> onResponse) {
        return response -> {
            availability.record(response);
            if (response.status() == StateResponses.TOO_MANY_REQUESTS) {
                rateExceededListener.run();
            }
            onResponse.accept(response);
        };
    }
}
