package org.spruceridge.net;

import java.util.function.Consumer;
import org.spruceridge.config.Address;

/** One request of the client. It finishes exactly once, by a response, a failure, a timeout or a cancellation. */
final class HttpExchange {
    private final Address address;
    private final HttpCall call;
    private final Consumer<HttpAnswer> onComplete;
    private Cancellable timeoutTimer;
    /** The connection that carries the request or that is being opened for it. Null until a connection is assigned. */
    private ClientConnection connection;

    private boolean isFinished;

    HttpExchange(Address address, HttpCall call, Consumer<HttpAnswer> onComplete) {
        this.address = address;
        this.call = call;
        this.onComplete = onComplete;
    }

    Address address() {
        return address;
    }

    HttpCall call() {
        return call;
    }

    boolean isFinished() {
        return isFinished;
    }

    void setTimeoutTimer(Cancellable timer) {
        timeoutTimer = timer;
    }

    void setConnection(ClientConnection newConnection) {
        connection = newConnection;
    }

    /**
     * Finishes without a response. The outcome states whether the request was sent, because a request that was sent may
     * have been executed.
     */
    void onTimeout() {
        if (!isFinished) {
            boolean wasSent = connection != null && connection.isCarrying(this);
            closeConnection();
            complete(wasSent ? HttpAnswer.noResponse() : HttpAnswer.notSent());
        }
    }

    /** Finishes without calling the callback. */
    void cancel() {
        if (!isFinished) {
            isFinished = true;
            timeoutTimer.cancel();
            closeConnection();
        }
    }

    /** Calls the callback with the outcome, unless the exchange has already finished. */
    void complete(HttpAnswer response) {
        if (!isFinished) {
            isFinished = true;
            timeoutTimer.cancel();
            onComplete.accept(response);
        }
    }

    private void closeConnection() {
        if (connection != null) {
            connection.close();
        }
    }
}
