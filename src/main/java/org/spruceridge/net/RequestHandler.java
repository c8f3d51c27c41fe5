package org.spruceridge.net;

import java.util.function.Consumer;

/** Takes requests; the answer is given on the loop, at once or later, exactly once. */
@FunctionalInterface
public interface RequestHandler {
    void handle(Request request, Consumer<Response> answer);
}
