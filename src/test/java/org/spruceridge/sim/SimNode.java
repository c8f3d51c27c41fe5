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

/** The simulator's interface to a controller node, which runs the version under test or the version in production. */
interface SimNode {
    /**
     * Starts the node. {@code onReady} runs once the node knows the leader, or leads and has loaded the list of
     * open jobs.
     */
    void start(Runnable onReady);

    /** True while the node is permitted to act as the leader. */
    boolean leads();

    /** Handles a request and passes the response to {@code onResponse}. */
    void handle(Request request, Consumer<Response> onResponse);

    /** The objects that the simulator passes to a node when the node is created. */
    record Dependencies(
            Loop loop, HttpClient http, PeerTransport peerTransport, SplittableRandom random, JsonNode settings) {}

    /** Creates a node that runs the version under test. */
    static SimNode current(Dependencies dependencies) {
        Node node = new Node(
                dependencies.loop(),
                dependencies.http(),
                dependencies.peerTransport(),
                dependencies.random(),
                Settings.read(dependencies.settings()),
                Policy.defaults());
        return new SimNode() {
            @Override
            public void start(Runnable onReady) {
                node.start(onReady);
            }

            @Override
            public boolean leads() {
                return node.leads();
            }

            @Override
            public void handle(Request request, Consumer<Response> onResponse) {
                node.handler().handle(request, onResponse);
            }
        };
    }
}
