package org.spruceridge.net;

import java.util.function.Consumer;
import org.spruceridge.config.Address;

/** One request of the client and its outcome: ends once, by a response, a failure, a timeout or a cancellation. */
final class HttpExchange {
    private final Address to;
    private final HttpCall call;
    private final Consumer<HttpAnswer> done;
    private Cancellable timeout;
    /** The connection that carries it or is being opened for it; null until there is one. */
    private ClientConnection connection;

    private boolean isOver;

    HttpExchange(Address to, HttpCall call, Consumer<HttpAnswer> done) {
        this.to = to;
        this.call = call;
        this.done = done;
    }

    Address to() {
        return to;
    }

    HttpCall call() {
        return call;
    }

    boolean isOver() {
        return isOver;
    }

    void timeout(Cancellable timer) {
        timeout = timer;
    }

    void connection(ClientConnection carrier) {
        connection = carrier;
    }

    /** Ends without a response; whether the request was sent tells if it may have been carried out. */
    void timeOut() {
        if (!isOver) {
            boolean sent = connection != null && connection.isCarrying(this);
            closeConnection();
            complete(sent ? HttpAnswer.noResponse() : HttpAnswer.notSent());
        }
    }

    /** Ends without a call of the callback. */
    void cancel() {
        if (!isOver) {
            isOver = true;
            timeout.cancel();
            closeConnection();
        }
    }

    /** Passes the outcome on, unless the exchange is over. */
    void complete(HttpAnswer answer) {
        if (!isOver) {
            isOver = true;
            timeout.cancel();
            done.accept(answer);
        }
    }

    private void closeConnection() {
        if (connection != null) {
            connection.close();
        }
    }
}
