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

/** That connections stay within the machine's sockets and that nobody is shut out, on loopback. */
final class ConnectionLimiterTest {
    private static final long REQUEST_TIMEOUT = Durations.nanos(10);

    private final NettyLoop loop = new NettyLoop();
    private final List<Socket> opened = new ArrayList<>();
    private final int port = freePort();

    private static int freePort() {
        try (ServerSocket probe = new ServerSocket(0)) {
            return probe.getLocalPort();
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    /** Answers everybody; workers send heartbeats to {@code /hello}. */
    private static final class ServesAll implements RequestHandler {
        @Override
        public void handle(Request request, Consumer<Response> answer) {
            answer.accept(Response.of(200, Json.object()));
        }

        @Override
        public RequestQueue.Priority priority(Request request) {
            return request.path().equals("/hello") ? RequestQueue.Priority.HEARTBEAT : RequestQueue.Priority.USER;
        }

        @Override
        public Response refusal(Request request) {
            throw new AssertionError("nothing here takes so long");
        }
    }

    private void serve(ConnectionLimiter connectionLimiter, long workerIdle) {
        new HttpServer(loop, connectionLimiter, workerIdle, new ServesAll()).start(new Address("0.0.0.0", port));
    }

    @AfterEach
    void end() throws IOException {
        for (Socket socket : opened) {
            socket.close();
        }
        loop.group().shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private <T> T onLoop(java.util.concurrent.Callable<T> work)
            throws InterruptedException, ExecutionException, TimeoutException {
        CompletableFuture<T> done = new CompletableFuture<>();
        loop.execute(() -> {
            try {
                done.complete(work.call());
            } catch (Exception e) {
                done.completeExceptionally(e);
            }
        });
        return done.get(10, TimeUnit.SECONDS);
    }

    private int call(NettyHttpClient client, Address to)
            throws InterruptedException, ExecutionException, TimeoutException {
        CompletableFuture<Integer> status = new CompletableFuture<>();
        loop.execute(
                () -> client.call(to, HttpCall.get("/"), REQUEST_TIMEOUT, answer -> status.complete(answer.status())));
        return status.get(10, TimeUnit.SECONDS);
    }

    @Test
    void pushesToMoreMachinesThanThereAreSocketsAllArrive() throws Exception {
        serve(new ConnectionLimiter(10_000), REQUEST_TIMEOUT);
        ConnectionLimiter few = new ConnectionLimiter(40);
        NettyHttpClient client = new NettyHttpClient(loop, few);
        for (int round = 0; round < 2; round++) {
            for (int machine = 1; machine <= 60; machine++) {
                assertEquals(200, call(client, new Address("127.0.0." + machine, port)));
                assertTrue(onLoop(few::open) <= 36, "idle connections must leave room");
            }
        }
        // Those who come in take the room of idle connections too.
        onLoop(() -> {
            for (int i = 0; i < 30; i++) {
                few.opened();
            }
            return null;
        });
        assertEquals(36, onLoop(few::open));
    }

    /** A flooded node once timed its calls of the state service out while their answers lay unread, and never led. */
    @Test
    void anAnswerThatCameWhileTheLoopWasBusyIsTaken() throws Exception {
        NettyLoop other = new NettyLoop();
        new HttpServer(other, new ConnectionLimiter(40), REQUEST_TIMEOUT, new ServesAll())
                .start(new Address("0.0.0.0", port));
        NettyHttpClient client = new NettyHttpClient(loop, new ConnectionLimiter(40));
        Address server = new Address("127.0.0.1", port);
        assertEquals(200, call(client, server)); // its connection is kept
        CompletableFuture<Integer> status = new CompletableFuture<>();
        loop.execute(() -> {
            client.call(server, HttpCall.get("/"), Durations.millis(200), answer -> status.complete(answer.status()));
            sleep(600);
        });
        assertEquals(200, status.get(10, TimeUnit.SECONDS));
        other.group().shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** At Netty's default of 16 a turn, workers waited in the backlog of a busy leader until they had given up. */
    @Test
    void allThatWaitAreAcceptedInOneTurn() throws Exception {
        ConnectionLimiter connectionLimiter = new ConnectionLimiter(10_000);
        serve(connectionLimiter, REQUEST_TIMEOUT);
        CountDownLatch connected = new CountDownLatch(1);
        CompletableFuture<Integer> open = new CompletableFuture<>();
        loop.execute(() -> {
            await(connected);
            loop.after(0, () -> loop.after(0, () -> open.complete(connectionLimiter.open())));
        });
        for (int i = 0; i < 100; i++) {
            connect();
        }
        connected.countDown();
        assertEquals(100, open.get(10, TimeUnit.SECONDS));
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
        opened.add(socket);
        return socket;
    }

    /** True if the connection carried a request to its answer. */
    private static boolean asks(Socket socket, String path) {
        try {
            String request = "POST " + path + " HTTP/1.1\r\nhost: here\r\ncontent-length: 0\r\n\r\n";
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            byte[] answer = new byte[1024];
            int n = socket.getInputStream().read(answer);
            return n > 0 && new String(answer, 0, n, StandardCharsets.US_ASCII).startsWith("HTTP/1.1 200");
        } catch (IOException e) {
            return false;
        }
    }

    @Test
    void reconnectingFleetLeavesRoomForUsersAndHealthChecks() throws Exception {
        serve(new ConnectionLimiter(40), REQUEST_TIMEOUT);
        Socket user = connect();
        assertTrue(asks(user, "/api/jobs/j-1"));
        Socket first = connect();
        assertTrue(asks(first, "/hello"));
        // Four times as many workers' connections as there are sockets, all left open: as behind a cut.
        Socket last = first;
        for (int i = 0; i < 160; i++) {
            last = connect();
            assertTrue(asks(last, "/hello"), "the newest heartbeat is answered");
        }
        assertTrue(asks(user, "/api/jobs/j-1"), "a user's connection stays");
        assertTrue(asks(connect(), "/healthz"), "a health check gets in");
        assertTrue(asks(last, "/hello"));
        assertTrue(!asks(first, "/hello"), "the connection that was silent longest is closed");
    }

    @Test
    void idleWorkerConnectionIsClosedAfterItsLastHeartbeat() throws Exception {
        serve(new ConnectionLimiter(40), Durations.millis(200));
        Socket worker = connect();
        assertTrue(asks(worker, "/hello"));
        assertEquals(-1, worker.getInputStream().read(), "closed by the server");
    }
}
