package org.spruceridge.net;

/** A pending timer or call that can be cancelled; cancelling it twice is harmless. */
@FunctionalInterface
public interface Cancellable {
    /** Cancels it; does nothing if it is over. */
    void cancel();
}
