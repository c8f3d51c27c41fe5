package org.spruceridge.net;

/** Something pending that can be called off; calling it off twice is harmless. */
@FunctionalInterface
public interface Cancellable {
    /** Cancels it; does nothing if it is over. */
    void cancel();
}
