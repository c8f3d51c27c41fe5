package org.spruceridge.sim;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.spruceridge.config.Policy;
import org.spruceridge.config.Settings;
import org.spruceridge.net.HttpClient;
import org.spruceridge.net.Loop;
import org.spruceridge.net.Request;
import org.spruceridge.net.Response;
import org.spruceridge.node.Node;
import org.spruceridge.peer.PeerTransport;

/** A controller node of any version, as the simulator sees it. */
interface SimNode {
    /** Starts the node; {@code ready} runs once it knows which node leads. */
    void start(Runnable ready);

    /** True while it may act as leader. */
    boolean leads();

    /** Handles a request. */
    void handle(Request request, Consumer<Response> answer);

    /** The dependencies of a node. */
    record Parts(Loop loop, HttpClient http, PeerTransport link, SplittableRandom random, JsonNode settings) {}

    /** A node of this version. */
    static SimNode current(Parts parts) {
        Node node = new Node(
                parts.loop(),
                parts.http(),
                parts.link(),
                parts.random(),
                Settings.read(parts.settings()),
                Policy.defaults());
        return new SimNode() {
            @Override
            public void start(Runnable ready) {
                node.start(ready);
            }

            @Override
            public boolean leads() {
                return node.leads();
            }

            @Override
            public void handle(Request request, Consumer<Response> answer) {
                node.handler().handle(request, answer);
            }
        };
    }
}
