package org.spruceridge.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.spruceridge.config.Address;

/** Connections stay within the socket limit, and users and health checks can always connect. Runs on loopback. */
final class ConnectionLimiterTest {
    private static final long REQUEST_TIMEOUT_NANOS = Durations.nanos(10);

    private final NettyLoop loop = new NettyLoop();
    private final List<Socket> openSockets = new ArrayList<>();
    private final int port = freePort();

    private static int freePort() {
        try (ServerSocket probe = new ServerSocket(0)) {
            return probe.getLocalPort();
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    /** Answers every request with status 200; requests to {@code /hello} have the priority of heartbeats. */
    private static final class OkHandler implements RequestHandler {
        @Override
        public void handle(Request request, Consumer<Response> onResponse) {
            onResponse.accept(Response.of(200, Json.object()));
        }

        @Override
        public RequestQueue.Priority priority(Request request) {
            return request.path().equals("/hello") ? RequestQueue.Priority.HEARTBEAT : RequestQueue.Priority.USER;
        }

        @Override
        public Response overloadResponse(Request request) {
            throw new AssertionError("no request should be rejected");
        }
    }

    private void serve(ConnectionLimiter connectionLimiter, long workerIdleTimeoutNanos) {
        new HttpServer(loop, connectionLimiter, workerIdleTimeoutNanos, new OkHandler())
                .start(new Address("0.0.0.0", port));
    }

    @AfterEach
    void closeSockets() throws IOException {
        for (Socket socket : openSockets) {
            socket.close();
        }
        loop.group().shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private <T> T onLoop(java.util.concurrent.Callable<T> work)
            throws InterruptedException, ExecutionException, TimeoutException {
        CompletableFuture<T> result = new CompletableFuture<>();
        loop.execute(() -> {
            try {
                result.complete(work.call());
            } catch (Exception e) {
                result.completeExceptionally(e);
            }
        });
        return result.get(10, TimeUnit.SECONDS);
    }

    private int call(NettyHttpClient client, Address address)
            throws InterruptedException, ExecutionException, TimeoutException {
        CompletableFuture<Integer> status = new CompletableFuture<>();
        loop.execute(() -> client.call(
                address, HttpCall.get("/"), REQUEST_TIMEOUT_NANOS, response -> status.complete(response.status())));
        return status.get(10, TimeUnit.SECONDS);
    }

    @Test
    void requestsToMoreMachinesThanSocketsAllSucceed() throws Exception {
        serve(new ConnectionLimiter(10_000), REQUEST_TIMEOUT_NANOS);
        ConnectionLimiter limiter = new ConnectionLimiter(40);
        NettyHttpClient client = new NettyHttpClient(loop, limiter);
        for (int round = 0; round < 2; round++) {
            for (int machine = 1; machine <= 60; machine++) {
                assertEquals(200, call(client, new Address("127.0.0." + machine, port)));
                assertTrue(
                        onLoop(limiter::openCount) <= 36,
                        "at most 36 of the 40 sockets must be in use after a request");
            }
        }
        // New inbound connections cause idle outbound connections to be closed.
        onLoop(() -> {
            for (int i = 0; i < 30; i++) {
                limiter.recordOpened();
            }
            return null;
        });
        assertEquals(36, onLoop(limiter::openCount));
    }

    /**
     * A node was flooded with requests. Calls of the state service timed out although their responses had arrived,
     * because the node had not read the responses yet. The node therefore never became the leader.
     */
    @Test
    void responseReceivedWhileLoopIsBusyCompletesRequest() throws Exception {
        NettyLoop serverLoop = new NettyLoop();
        new HttpServer(serverLoop, new ConnectionLimiter(40), REQUEST_TIMEOUT_NANOS, new OkHandler())
                .start(new Address("0.0.0.0", port));
        NettyHttpClient client = new NettyHttpClient(loop, new ConnectionLimiter(40));
        Address server = new Address("127.0.0.1", port);
        assertEquals(200, call(client, server)); // the connection stays in the pool
        CompletableFuture<Integer> status = new CompletableFuture<>();
        loop.execute(() -> {
            client.call(
                    server, HttpCall.get("/"), Durations.millis(200), response -> status.complete(response.status()));
            sleep(600);
        });
        assertEquals(200, status.get(10, TimeUnit.SECONDS));
        serverLoop.group().shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /**
     * With Netty's default of 16 accepted connections per loop iteration, workers timed out in the backlog of a busy
     * leader.
     */
    @Test
    void connectionBacklogIsAcceptedInOneLoopIteration() throws Exception {
        ConnectionLimiter connectionLimiter = new ConnectionLimiter(10_000);
        serve(connectionLimiter, REQUEST_TIMEOUT_NANOS);
        CountDownLatch connected = new CountDownLatch(1);
        CompletableFuture<Integer> openCount = new CompletableFuture<>();
        loop.execute(() -> {
            await(connected);
            loop.after(0, () -> loop.after(0, () -> openCount.complete(connectionLimiter.openCount())));
        });
        for (int i = 0; i < 100; i++) {
            connect();
        }
        connected.countDown();
        assertEquals(100, openCount.get(10, TimeUnit.SECONDS));
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket("127.0.0.1", port);
        socket.setSoTimeout(10_000);
        openSockets.add(socket);
        return socket;
    }

    /** True if a request on this connection receives a response with status 200. */
    private static boolean getsResponse(Socket socket, String path) {
        try {
            String request = "POST " + path + " HTTP/1.1\r\nhost: here\r\ncontent-length: 0\r\n\r\n";
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            byte[] response = new byte[1024];
            int byteCount = socket.getInputStream().read(response);
            return byteCount > 0
                    && new String(response, 0, byteCount, StandardCharsets.US_ASCII).startsWith("HTTP/1.1 200");
        } catch (IOException e) {
            return false;
        }
    }

    @Test
    void reconnectingFleetLeavesRoomForUsersAndHealthChecks() throws Exception {
        serve(new ConnectionLimiter(40), REQUEST_TIMEOUT_NANOS);
        Socket user = connect();
        assertTrue(getsResponse(user, "/api/jobs/j-1"));
        Socket first = connect();
        assertTrue(getsResponse(first, "/hello"));
        // The workers open four times as many connections as there are sockets and close none, as in a network
        // partition.
        Socket last = first;
        for (int i = 0; i < 160; i++) {
            last = connect();
            assertTrue(getsResponse(last, "/hello"), "a heartbeat on a new connection must be answered");
        }
        assertTrue(getsResponse(user, "/api/jobs/j-1"), "the connection of a user must stay open");
        assertTrue(getsResponse(connect(), "/healthz"), "a health check must be able to connect");
        assertTrue(getsResponse(last, "/hello"));
        assertTrue(!getsResponse(first, "/hello"), "the worker connection that was idle longest must be closed");
    }

    @Test
    void idleWorkerConnectionIsClosedAfterTimeout() throws Exception {
        serve(new ConnectionLimiter(40), Durations.millis(200));
        Socket worker = connect();
        assertTrue(getsResponse(worker, "/hello"));
        assertEquals(-1, worker.getInputStream().read(), "the server must close the connection");
    }
}
