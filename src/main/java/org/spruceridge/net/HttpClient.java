package org.spruceridge.net;

import java.util.function.Consumer;
import org.spruceridge.config.Address;

/** Sends requests; the callback runs on the loop, once, unless the call is cancelled first. */
public interface HttpClient {
    /** Sends a request; {@code done} gets its outcome once, at the latest after {@code timeoutNanos}. */
    Cancellable call(Address to, HttpCall call, long timeoutNanos, Consumer<HttpAnswer> done);
}
