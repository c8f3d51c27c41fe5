package org.spruceridge.net;

/** A pending timer or call that can be cancelled. Cancellation is idempotent. */
@FunctionalInterface
public interface Cancellable {
    /** Cancels the timer or call; does nothing if it has already fired, completed or been cancelled. */
    void cancel();
}
