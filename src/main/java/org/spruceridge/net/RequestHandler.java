package org.spruceridge.net;

import java.util.function.Consumer;

/** Takes requests. */
public interface RequestHandler {
    /** The answer is given on the loop, at once or later, exactly once. */
    void handle(Request request, Consumer<Response> answer);

    /** Which requests come first when there are too many. */
    RequestQueue.Priority priority(Request request);

    /** What is answered to a request that could not be taken in time. */
    Response refusal(Request request);
}
