package org.spruceridge.state;

import org.spruceridge.net.Cancellable;

/** A watch that may be cancelled before its request has been sent, and then never is. */
final class WatchRequest implements Cancellable {
    private static final Cancellable NOT_SENT = () -> {};

    private boolean cancelled;
    private Cancellable request = NOT_SENT;

    boolean isCancelled() {
        return cancelled;
    }

    void sent(Cancellable sentRequest) {
        request = sentRequest;
    }

    @Override
    public void cancel() {
        cancelled = true;
        request.cancel();
    }
}
