package org.spruceridge.net;

import java.util.function.Consumer;
import org.spruceridge.config.Address;

/** Sends HTTP requests. Callbacks run on the event loop. */
public interface HttpClient {
    /**
     * Sends a request. {@code onComplete} is called exactly once with the outcome, after {@code timeoutNanos} at the
     * latest, unless the returned call is cancelled first.
     */
    Cancellable call(Address address, HttpCall call, long timeoutNanos, Consumer<HttpAnswer> onComplete);
}
