package org.spruceridge.state;

import org.spruceridge.net.Cancellable;

/** A watch that can be cancelled before its request is sent; a cancelled watch is never sent. */
final class WatchRequest implements Cancellable {
    private static final Cancellable NOT_SENT = () -> {};

    private boolean cancelled;
    private Cancellable request = NOT_SENT;

    boolean isCancelled() {
        return cancelled;
    }

    void attach(Cancellable sentRequest) {
        request = sentRequest;
    }

    @Override
    public void cancel() {
        cancelled = true;
        request.cancel();
    }
}
