package org.spruceridge.net;

import java.util.function.Consumer;

/** Handles the requests of the HTTP server, on the event loop. */
public interface RequestHandler {
    /** Handles a request. {@code onResponse} is called exactly once, on the event loop, immediately or later. */
    void handle(Request request, Consumer<Response> onResponse);

    /** The priority at which the request is handled under overload. */
    RequestQueue.Priority priority(Request request);

    /** The response to a request that is rejected because it could not be handled in time. */
    Response overloadResponse(Request request);
}
