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
 * admits it. Requests are not retried here: callers decide what an unknown outcome means to them. All callbacks run on
 * the event loop.
 */
public final class StateClient {
    private static final Logger LOG = LoggerFactory.getLogger(StateClient.class);
    /** Responses usually take under 10 ms and occasionally a few hundred. */
    private static final long REQUEST_TIMEOUT_NANOS = Durations.millis(1000);
    /** A watch may be answered this much later than the time it was asked to wait. */
    private static final long WATCH_TIMEOUT_SLACK_NANOS = Durations.nanos(5);

    private static final HttpAnswer NOT_ADMITTED = new HttpAnswer(StateResponses.TOO_MANY_REQUESTS, new byte[0]);

    private final Loop loop;
    private final HttpClient http;
    private final Address address;
    private final RateLimiter limiter;
    private final Latencies latencies;
    private final StateResponses responses;
    private final StateServiceAvailability availability;
    private Runnable rateExceeded = () -> {};

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
        this.latencies = latencies;
        this.responses = new StateResponses(warnings);
        this.availability = new StateServiceAvailability(loop);
    }

    /** {@code listener} runs whenever the service answers 429, that its limits were exceeded. */
    public void onRateExceeded(Runnable listener) {
        rateExceeded = listener;
    }

    /** Nanoseconds since the service last executed or judged a request of this node. */
    public long nanosSinceLastServed() {
        return availability.nanosSinceLastServed();
    }

    /** True once the service has executed or judged a request of this node. */
    public boolean hasEverBeenServed() {
        return availability.hasEverServed();
    }

    /** Reads one key. */
    public void get(String key, Priority priority, Consumer<StateResult<Entry>> done) {
        send(priority, 0, StateRequests.get(key), answer -> done.accept(responses.entry(key, answer)));
    }

    /** Reads all keys under a prefix, page by page. */
    public void list(String prefix, Priority priority, Consumer<StateResult<Listing>> done) {
        new ListRequest(prefix, (call, onAnswer) -> send(priority, 0, call, onAnswer), responses, done).start();
    }

    /** Commits a transaction. */
    public void commit(Transaction transaction, Priority priority, Consumer<TransactionResult> done) {
        send(priority, transaction.changeCount(), StateRequests.commit(transaction), transactionCallback(done));
    }

    /**
     * Commits a transaction that is composed only once the rate limiter admits it, so that it carries everything gathered
     * by then; it has at most {@code maxChanges} changes. If {@code composer} returns none, nothing is sent and
     * {@code done} is not called.
     */
    public void commitWhenAdmitted(
            Priority priority,
            int maxChanges,
            Supplier<Optional<Transaction>> composer,
            Consumer<TransactionResult> done) {
        boolean queued = limiter.submit(priority, maxChanges, () -> {
            Optional<Transaction> transaction = composer.get();
            if (transaction.isEmpty()) {
                return 0;
            }
            sendNow(StateRequests.commit(transaction.get()), transactionCallback(done));
            return transaction.get().changeCount();
        });
        if (!queued) {
            done.accept(TransactionResult.of(TransactionResult.Outcome.NOT_EXECUTED));
        }
    }

    /** Creates a lease with this time to live; the result is its id. */
    public void createLease(long ttlMillis, Consumer<StateResult<Long>> done) {
        send(
                Priority.LEASE_RENEWAL,
                0,
                StateRequests.createLease(ttlMillis),
                answer -> done.accept(responses.createdLease(answer)));
    }

    /**
     * Renews a lease; NOT_FOUND means that it has expired. The result is the time at which the request was sent, in
     * nanoseconds: the lease is valid from then at least.
     */
    public void renewLease(long leaseId, long timeoutNanos, Consumer<StateResult<Long>> done) {
        boolean queued = limiter.submit(Priority.LEASE_RENEWAL, 0, () -> {
            long sentAt = loop.nanos();
            http.call(
                    address,
                    StateRequests.renewLease(leaseId),
                    timeoutNanos,
                    observed(answer -> done.accept(StateResponses.renewedLease(answer, sentAt))));
        });
        if (!queued) {
            done.accept(StateResult.failed(StateResult.Outcome.UNAVAILABLE));
        }
    }

    /** Revokes a lease, which removes the keys attached to it; nothing depends on whether it works. */
    public void revokeLease(long leaseId) {
        send(Priority.LEASE_RENEWAL, 0, StateRequests.revokeLease(leaseId), answer -> {});
    }

    /** Waits up to {@code blockS} seconds for changes of keys with the prefix after a revision. */
    public Cancellable watch(String prefix, long fromRevision, double blockS, Consumer<StateResult<Changes>> done) {
        long blockMs = (long) (blockS * 1000);
        WatchRequest watch = new WatchRequest();
        boolean queued = limiter.submit(Priority.LEASE_RENEWAL, 0, () -> {
            if (!watch.isCancelled()) {
                watch.sent(http.call(
                        address,
                        StateRequests.watch(prefix, fromRevision, blockMs),
                        Durations.millis((double) blockMs) + WATCH_TIMEOUT_SLACK_NANOS,
                        observed(answer -> done.accept(responses.changes(answer)))));
            }
        });
        if (!queued) {
            loop.after(REQUEST_TIMEOUT_NANOS, () -> done.accept(StateResult.failed(StateResult.Outcome.UNAVAILABLE)));
        }
        return watch;
    }

    private Consumer<HttpAnswer> transactionCallback(Consumer<TransactionResult> done) {
        return answer -> {
            TransactionResult result = responses.transaction(answer);
            if (result.outcome() == TransactionResult.Outcome.MALFORMED) {
                LOG.error("transaction rejected as malformed reason={}", StateResponses.text(answer));
            }
            done.accept(result);
        };
    }

    private void send(Priority priority, int changes, HttpCall call, Consumer<HttpAnswer> done) {
        boolean queued = limiter.submit(priority, changes, () -> sendNow(call, done));
        if (!queued) {
            done.accept(NOT_ADMITTED); // equals a refusal by the service: it was never sent
        }
    }

    private void sendNow(HttpCall call, Consumer<HttpAnswer> done) {
        http.call(address, call, REQUEST_TIMEOUT_NANOS, timed(observed(done)));
    }

    /** Records the latency, without the wait for the rate limiter. Watches and renewals are not recorded. */
    private Consumer<HttpAnswer> timed(Consumer<HttpAnswer> done) {
        long sentAt = loop.nanos();
        return answer -> {
            latencies.record(Latencies.Kind.STATE, loop.nanos() - sentAt);
            done.accept(answer);
        };
    }

    /** Records whether the service is available, and whether its limits were exceeded. */
    private Consumer<HttpAnswer> observed(Consumer<HttpAnswer> done) {
        return answer -> {
            availability.record(answer);
            if (answer.status() == StateResponses.TOO_MANY_REQUESTS) {
                rateExceeded.run();
            }
            done.accept(answer);
        };
    }
}
