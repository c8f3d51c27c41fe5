package org.spruceridge.net;

import java.util.function.Consumer;

/** Handles the requests of the HTTP server, on the event loop. */
public interface RequestHandler {
    /** Handles a request; {@code answer} is called exactly once, at once or later, on the loop. */
    void handle(Request request, Consumer<Response> answer);

    /** The priority of the request under overload. */
    RequestQueue.Priority priority(Request request);

    /** The response to a request that could not be handled in time. */
    Response refusal(Request request);
}
