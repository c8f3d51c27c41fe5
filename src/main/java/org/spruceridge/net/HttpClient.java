package org.spruceridge.net;

import java.util.function.Consumer;
import org.spruceridge.config.Address;

/** Sends requests; the callback runs on the loop, once, unless the call is cancelled first. */
public interface HttpClient {
    Cancellable call(Address to, HttpCall call, long timeoutNanos, Consumer<HttpAnswer> done);
}
