package org.spruceridge.state;

import org.spruceridge.net.Cancellable;

/**
 * A watch that can be cancelled before or after its request is sent. The request of a watch that is cancelled before is
 * never sent.
 */
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
