package org.spruceridge.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.common.collect.ImmutableList;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.spruceridge.cloud.CloudClient;
import org.spruceridge.cloud.CloudMachine;
import org.spruceridge.cloud.LaunchResult;
import org.spruceridge.cluster.MachineKind;
import org.spruceridge.cluster.MachineType;
import org.spruceridge.cluster.Resources;
import org.spruceridge.cluster.TaskId;
import org.spruceridge.config.Address;
import org.spruceridge.net.Cancellable;
import org.spruceridge.net.HttpAnswer;
import org.spruceridge.net.HttpCall;
import org.spruceridge.net.HttpClient;
import org.spruceridge.net.Json;
import org.spruceridge.net.Latencies;
import org.spruceridge.net.ManualLoop;
import org.spruceridge.net.RateLimitedWarnings;
import org.spruceridge.net.RateLimiter;
import org.spruceridge.net.RateLimiter.Priority;
import org.spruceridge.net.Response;
import org.spruceridge.state.Change;
import org.spruceridge.state.Changes;
import org.spruceridge.state.Entry;
import org.spruceridge.state.Listing;
import org.spruceridge.state.StateClient;
import org.spruceridge.state.StateResult;
import org.spruceridge.state.Transaction;
import org.spruceridge.state.TransactionResult;
import org.spruceridge.worker.CommandResult;
import org.spruceridge.worker.WorkerClient;
import org.spruceridge.worker.WorkerCommand;
import org.spruceridge.worker.WorkerHeartbeat;
import org.spruceridge.worker.WorkerHeartbeat.ExitCause;
import org.spruceridge.worker.WorkerHeartbeat.TaskState;
import org.spruceridge.worker.WorkerHeartbeat.TaskStatus;

/**
 * The exact requests to the state service, the cloud and the workers, and the values that are read from the responses.
 * The protocols define the names on the wire, which are independent of the names in the code.
 */
final class WireFormatsTest {
    private static final Address SERVICE = new Address("10.0.0.9", 2379);
    private static final double UNLIMITED_RATE = 1e6;

    private final ManualLoop loop = new ManualLoop();
    private final RateLimitedWarnings warnings = new RateLimitedWarnings(loop);
    private final RateLimiter limiter = new RateLimiter(loop, UNLIMITED_RATE, UNLIMITED_RATE, UNLIMITED_RATE);
    private final StubHttpClient http = new StubHttpClient();
    private final StateClient state = new StateClient(loop, http, SERVICE, limiter, warnings, new Latencies(loop));
    private final CloudClient cloud = new CloudClient(http, SERVICE, limiter, warnings);

    /**
     * Records each request as a line of text. Answers every request with the same status. Each request consumes a
     * queued body, if there is one, as the body of the next response; otherwise the body stays the same.
     */
    private static final class StubHttpClient implements HttpClient {
        private final List<String> requests = new ArrayList<>();
        private final Deque<String> queuedBodies = new ArrayDeque<>();
        private int status = 200;
        private String body = "{}";
        private boolean sent = true;

        @Override
        public Cancellable call(Address to, HttpCall call, long timeoutNanos, Consumer<HttpAnswer> onResponse) {
            String text = call.method() + " " + call.target() + " " + new String(call.body(), StandardCharsets.UTF_8);
            requests.add(text.strip());
            HttpAnswer response = new HttpAnswer(status, body.getBytes(StandardCharsets.UTF_8), sent);
            body = queuedBodies.isEmpty() ? body : queuedBodies.remove();
            onResponse.accept(response);
            return () -> {};
        }

        void setResponse(int newStatus, String newBody) {
            status = newStatus;
            body = newBody;
        }

        /** Queues a response body, which is sent after the current body and the bodies queued before. */
        void enqueueBody(String queuedBody) {
            queuedBodies.add(queuedBody);
        }
    }

    private void assertRequest(String expected) {
        loop.advance(1);
        assertEquals(List.of(expected), http.requests);
    }

    private static <T> Consumer<T> expect(T expected) {
        return actual -> assertEquals(expected, actual);
    }

    private static String text(Response response) {
        return response.status() + " " + new String(response.body(), StandardCharsets.UTF_8);
    }

    private static Transaction transaction() {
        return Transaction.builder()
                .compare("term", 4)
                .putWithLease("leader", 0, Json.object().put("a", 1), 77)
                .put("job/j-1", 3, Json.object().put("b", 2))
                .delete("open/j-1", 3)
                .build();
    }

    @Test
    void keyIsReadWithItsRevision() {
        http.setResponse(200, "{\"v\":{\"a\":1},\"stamp\":5,\"ring\":9}");
        state.get(
                "leader",
                Priority.LEASE_RENEWAL,
                expect(StateResult.ok(new Entry("leader", Json.object().put("a", 1), 5))));
        assertRequest("GET /store/leader");
    }

    @Test
    void keysWithPrefixAreListed() {
        http.setResponse(
                200, "{\"entries\":[{\"k\":\"open/j-1\",\"v\":{},\"stamp\":5}],\"truncated\":false,\"ring\":9}");
        Entry entry = new Entry("open/j-1", Json.object(), 5);
        state.list(
                "open/",
                Priority.LEASE_RENEWAL,
                expect(StateResult.ok(new Listing(ImmutableList.of(entry), 9, http.body.length()))));
        assertRequest("GET /store?starts=open/&limit=500");
    }

    @Test
    void pagedListingContinuesAfterLastKeyOfPreviousPage() {
        String page = "{\"entries\":[{\"k\":\"%s\",\"v\":{},\"stamp\":%d}],\"truncated\":%b,\"ring\":%d}";
        String second = String.format(page, "open/j-2", 6, false, 10);
        http.setResponse(200, String.format(page, "open/j-1", 5, true, 9));
        http.enqueueBody(second);
        long bytes = (long) http.body.length() + second.length();
        List<StateResult<Listing>> results = new ArrayList<>();
        state.list("open/", Priority.LEASE_RENEWAL, results::add);
        loop.advance(1);
        ImmutableList<Entry> entries =
                ImmutableList.of(new Entry("open/j-1", Json.object(), 5), new Entry("open/j-2", Json.object(), 6));
        assertEquals(List.of(StateResult.ok(new Listing(entries, 9, bytes))), results);
        assertEquals(
                List.of("GET /store?starts=open/&limit=500", "GET /store?starts=open/&from=open/j-1&limit=500"),
                http.requests);
    }

    @Test
    void transactionIsSentAndCommitted() {
        http.setResponse(200, "{\"ring\":12}");
        state.commit(
                transaction(),
                Priority.LEASE_RENEWAL,
                expect(new TransactionResult(TransactionResult.Outcome.COMMITTED, 12, ImmutableList.of())));
        assertRequest("POST /txn {\"guards\":[{\"k\":\"term\",\"stamp\":4},{\"k\":\"leader\",\"stamp\":0},"
                + "{\"k\":\"job/j-1\",\"stamp\":3},{\"k\":\"open/j-1\",\"stamp\":3}],"
                + "\"then\":[{\"set\":\"leader\",\"v\":{\"a\":1},\"permit\":77},"
                + "{\"set\":\"job/j-1\",\"v\":{\"b\":2}},{\"drop\":\"open/j-1\"}]}");
    }

    @Test
    void errorStatusOfTransactionIsReadAsOutcome() {
        http.setResponse(409, "{\"failed\":[\"leader\",\"term\"]}");
        state.commit(
                transaction(),
                Priority.LEASE_RENEWAL,
                expect(new TransactionResult(
                        TransactionResult.Outcome.CONFLICT, 0, ImmutableList.of("leader", "term"))));
        http.setResponse(400, "{\"error\":\"no such lease\"}");
        state.commit(
                transaction(),
                Priority.LEASE_RENEWAL,
                expect(TransactionResult.of(TransactionResult.Outcome.LEASE_NOT_FOUND)));
        http.setResponse(400, "{\"error\":\"too large\"}");
        state.commit(
                transaction(),
                Priority.LEASE_RENEWAL,
                expect(TransactionResult.of(TransactionResult.Outcome.MALFORMED)));
        http.setResponse(429, "{}");
        state.commit(
                transaction(),
                Priority.LEASE_RENEWAL,
                expect(TransactionResult.of(TransactionResult.Outcome.NOT_EXECUTED)));
        http.setResponse(500, "{}");
        state.commit(
                transaction(), Priority.LEASE_RENEWAL, expect(TransactionResult.of(TransactionResult.Outcome.UNKNOWN)));
        loop.advance(1);
        assertEquals(5, http.requests.size());
    }

    @Test
    void leaseIsCreatedRenewedAndRevoked() {
        http.setResponse(200, "{\"permit\":77}");
        state.createLease(11_000, expect(StateResult.ok(77L)));
        assertRequest("POST /grants {\"ttlMs\":11000}");
        state.renewLease(77, 1000, expect(StateResult.ok(loop.nanos())));
        state.revokeLease(77);
        loop.advance(1);
        assertEquals(List.of("POST /grants/77/renew", "DELETE /grants/77"), http.requests.subList(1, 3));
        http.setResponse(404, "{}");
        state.renewLease(77, 1000, expect(StateResult.failed(StateResult.Outcome.NOT_FOUND)));
        loop.advance(1);
    }

    @Test
    void watchedChangesAreRead() {
        http.setResponse(
                200,
                "{\"log\":[{\"set\":\"open/j-1\",\"v\":{\"a\":1},\"stamp\":6},{\"drop\":\"open/j-2\",\"stamp\":7}],"
                        + "\"ring\":8}");
        ImmutableList<Change> changes = ImmutableList.of(
                new Change.Put("open/j-1", Json.object().put("a", 1), 6), new Change.Delete("open/j-2", 7));
        state.watch("open/", 5, 2.5, expect(StateResult.ok(new Changes(changes, 8))));
        assertRequest("GET /follow?starts=open/&from=5&blockMs=2500");
        http.setResponse(410, "{}");
        state.watch("open/", 5, 2.5, expect(StateResult.failed(StateResult.Outcome.REVISION_COMPACTED)));
        loop.advance(1);
    }

    @Test
    void machineTypesAreRead() {
        http.setResponse(
                200,
                "{\"builds\":[{\"name\":\"t4\",\"cpus\":4,\"accelerators\":1,\"memGb\":16,\"fetchGbPerS\":0.5,"
                        + "\"rate\":0.2,\"lowPrice\":0.06,\"startupS\":20,\"groves\":[\"a\",\"b\"]}]}");
        MachineType type =
                new MachineType("t4", new Resources(4, 1, 16), 0.5, 0.2, 0.06, 20, ImmutableList.of("a", "b"));
        cloud.fetchMachineTypes(types -> assertEquals(
                ImmutableList.of(type), types.orElseThrow().values().asList()));
        assertRequest("GET /flavors");
    }

    @Test
    void machinesAreLaunchedAndDeleted() {
        http.setResponse(200, "{\"hosts\":[\"i-1\",\"i-2\"]}");
        cloud.launchMachines(
                "3-1",
                "t4",
                "a",
                true,
                2,
                expect(new LaunchResult(LaunchResult.Kind.LAUNCHED, ImmutableList.of("i-1", "i-2"))));
        assertRequest(
                "POST /hosts {\"claim\":\"3-1\",\"build\":\"t4\",\"grove\":\"a\",\"windfall\":true,\"howMany\":2}");
        http.setResponse(503, "{\"error\":\"no capacity\"}");
        cloud.launchMachines(
                "3-2", "t4", "a", true, 2, expect(new LaunchResult(LaunchResult.Kind.NO_CAPACITY, ImmutableList.of())));
        http.setResponse(503, "{\"error\":\"busy\"}");
        cloud.launchMachines(
                "3-3", "t4", "a", true, 2, expect(new LaunchResult(LaunchResult.Kind.REFUSED, ImmutableList.of())));
        http.setResponse(200, "{}");
        cloud.deleteMachines(List.of("i-1", "i-2"), expect(true));
        loop.advance(1);
        assertEquals("POST /hosts/delete {\"hosts\":[\"i-1\",\"i-2\"]}", http.requests.get(3));
    }

    @Test
    void machinesAreListed() {
        http.setResponse(
                200,
                "{\"hosts\":[{\"nameId\":\"i-1\",\"endpoint\":\"10.0.0.1:9000\",\"build\":\"t4\",\"grove\":\"a\","
                        + "\"windfall\":true,\"stage\":\"booting\",\"heldS\":3.5}],\"truncated\":false}");
        CloudMachine host = new CloudMachine("i-1", "10.0.0.1:9000", "t4", "a", true, CloudMachine.Stage.BOOTING, 3.5);
        cloud.listMachines(expect(Optional.of(ImmutableList.of(host))));
        assertRequest("GET /hosts?limit=500");
    }

    @Test
    void pagedMachineListingReadsEveryStage() {
        String host = "{\"nameId\":\"%s\",\"endpoint\":\"10.0.0.1:9000\",\"build\":\"t4\",\"grove\":\"a\","
                + "\"windfall\":false,\"stage\":\"%s\",\"heldS\":3.5}";
        http.setResponse(200, "{\"hosts\":[" + String.format(host, "i-1", "booting") + "],\"truncated\":true}");
        http.enqueueBody("{\"hosts\":[" + String.format(host, "i-2", "running") + ","
                + String.format(host, "i-3", "failed") + "],\"truncated\":false}");
        List<Optional<ImmutableList<CloudMachine>>> results = new ArrayList<>();
        cloud.listMachines(results::add);
        loop.advance(1);
        assertEquals(
                List.of(Optional.of(ImmutableList.of(
                        new CloudMachine("i-1", "10.0.0.1:9000", "t4", "a", false, CloudMachine.Stage.BOOTING, 3.5),
                        new CloudMachine("i-2", "10.0.0.1:9000", "t4", "a", false, CloudMachine.Stage.RUNNING, 3.5),
                        new CloudMachine("i-3", "10.0.0.1:9000", "t4", "a", false, CloudMachine.Stage.FAILED, 3.5)))),
                results);
        assertEquals(List.of("GET /hosts?limit=500", "GET /hosts?from=i-1&limit=500"), http.requests);
    }

    private CommandResult sendCommand(int status, String body, boolean isSent) {
        http.setResponse(status, body);
        http.sent = isSent;
        List<CommandResult> results = new ArrayList<>();
        List<WorkerCommand> commands = List.of(WorkerCommand.start(new TaskId("j-1", 3), 8));
        new WorkerClient(http, warnings).send(SERVICE, 9, 2, commands, 1000, results::add);
        assertEquals(1, results.size());
        return results.get(0);
    }

    @Test
    void commandResponseIsReadWithEachExitCause() {
        String body = "{\"host\":\"i-1\",\"endpoint\":\"10.0.0.1:9000\",\"build\":\"t4\",\"grove\":\"a\","
                + "\"windfall\":true,\"watch\":2,\"tally\":5,\"warrant\":9,\"warningS\":null,\"parts\":["
                + Stream.of("done", "stopped", "error", "no_room", "in_use", "unknown")
                        .map(cause -> String.format(
                                "{\"part\":\"j-1/3\",\"try\":8,\"stage\":\"ended\",\"cause\":\"%s\"}", cause))
                        .collect(Collectors.joining(","))
                + "]}";
        WorkerHeartbeat status = new WorkerHeartbeat(
                "i-1",
                "10.0.0.1:9000",
                new MachineKind("t4", "a", true),
                2,
                5,
                9,
                OptionalDouble.empty(),
                Stream.of(
                                ExitCause.DONE,
                                ExitCause.STOPPED,
                                ExitCause.ERROR,
                                ExitCause.NO_ROOM,
                                ExitCause.BUSY,
                                ExitCause.UNKNOWN)
                        .map(cause -> new TaskStatus(new TaskId("j-1", 3), 8, TaskState.EXITED, cause))
                        .collect(ImmutableList.toImmutableList()));
        assertEquals(new CommandResult(CommandResult.Kind.EXECUTED, Optional.of(status)), sendCommand(200, body, true));
        assertEquals(new CommandResult(CommandResult.Kind.REFUSED, Optional.of(status)), sendCommand(409, body, true));
    }

    @Test
    void commandResponseWithoutHeartbeatIsReadFromHttpStatus() {
        assertEquals(new CommandResult(CommandResult.Kind.REFUSED, Optional.empty()), sendCommand(400, "{}", true));
        assertEquals(new CommandResult(CommandResult.Kind.UNKNOWN, Optional.empty()), sendCommand(200, "{}", true));
        assertEquals(new CommandResult(CommandResult.Kind.UNKNOWN, Optional.empty()), sendCommand(503, "{}", true));
        assertEquals(new CommandResult(CommandResult.Kind.UNKNOWN, Optional.empty()), sendCommand(0, "", true));
        assertEquals(new CommandResult(CommandResult.Kind.UNSENT, Optional.empty()), sendCommand(0, "", false));
    }

    @Test
    void commandsAreEncodedInResponsesAndRequests() {
        TaskId task = new TaskId("j-1", 3);
        List<WorkerCommand> commands =
                List.of(WorkerCommand.start(task, 8), WorkerCommand.stop(task, 7, 1.5), WorkerCommand.forget(task, 6));
        String expected = "{\"warrant\":9,\"orders\":[{\"verb\":\"start\",\"part\":\"j-1/3\",\"try\":8},"
                + "{\"verb\":\"halt\",\"part\":\"j-1/3\",\"try\":7,\"leewayS\":1.5},"
                + "{\"verb\":\"forget\",\"part\":\"j-1/3\",\"try\":6}]";
        assertEquals("200 " + expected + "}", text(WorkerCommand.heartbeatResponse(9, commands)));
        WorkerClient workers = new WorkerClient(http, warnings);
        http.setResponse(400, "{}");
        workers.send(
                SERVICE, 9, 2, commands, 1000, expect(new CommandResult(CommandResult.Kind.REFUSED, Optional.empty())));
        assertRequest("POST /do " + expected + ",\"watch\":2}");
    }

    @Test
    void workerIsRedirectedToLeader() {
        assertEquals("421 {\"steward\":\"ranger-1\"}", text(WorkerCommand.redirectToLeader("ranger-1")));
    }

    @Test
    void workerHeartbeatUsesWireNames() {
        MachineKind kind = new MachineKind("t4", "a", true);
        TaskStatus running = new TaskStatus(new TaskId("j-1", 3), 8, TaskState.RUNNING, ExitCause.NONE);
        TaskStatus exited = new TaskStatus(new TaskId("j-1", 4), 7, TaskState.EXITED, ExitCause.NO_ROOM);
        WorkerHeartbeat heartbeat = new WorkerHeartbeat(
                "i-1", "10.0.0.1:9000", kind, 2, 5, 9, OptionalDouble.of(4.5), ImmutableList.of(running, exited));
        assertEquals(
                "{\"host\":\"i-1\",\"endpoint\":\"10.0.0.1:9000\",\"build\":\"t4\",\"grove\":\"a\",\"windfall\":true,"
                        + "\"watch\":2,\"tally\":5,\"warrant\":9,\"warningS\":4.5,\"parts\":["
                        + "{\"part\":\"j-1/3\",\"try\":8,\"stage\":\"running\"},"
                        + "{\"part\":\"j-1/4\",\"try\":7,\"stage\":\"ended\",\"cause\":\"no_room\"}]}",
                new String(Json.bytes(heartbeat.toJson()), StandardCharsets.UTF_8));
    }

    @Test
    void unavailableResponseContainsErrorAndRetryTime() {
        Response response = Response.unavailable(2, "too busy");
        assertEquals("503 {\"error\":\"too busy\"}", text(response));
        assertEquals(2, response.retryAfterS());
    }
}
