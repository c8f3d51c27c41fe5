package org.spruceridge.cloud;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.spruceridge.cluster.MachineType;
import org.spruceridge.cluster.Resources;
import org.spruceridge.config.Address;
import org.spruceridge.net.BadMessageException;
import org.spruceridge.net.Durations;
import org.spruceridge.net.HttpAnswer;
import org.spruceridge.net.HttpCall;
import org.spruceridge.net.HttpClient;
import org.spruceridge.net.Json;
import org.spruceridge.net.RateLimitedWarnings;
import org.spruceridge.net.RateLimiter;
import org.spruceridge.net.RateLimiter.Priority;

/** The client of the cloud API. Its request rate stays within this node's share of the cloud's rate limit. */
public final class CloudClient {
    /** The maximum number of machines in one launch request. */
    public static final int MAX_LAUNCH_BATCH = 50;
    /** The maximum number of machines in one deletion request. */
    public static final int MAX_DELETE_BATCH = 100;

    private static final int PAGE_SIZE = 500;
    private static final long REQUEST_TIMEOUT_NANOS = Durations.nanos(5);

    private final HttpClient http;
    private final Address address;
    private final RateLimiter limiter;
    private final RateLimitedWarnings warnings;

    /** Creates a client that sends requests to {@code address}, at the rate that {@code limiter} allows. */
    public CloudClient(HttpClient http, Address address, RateLimiter limiter, RateLimitedWarnings warnings) {
        this.http = http;
        this.address = address;
        this.limiter = limiter;
        this.warnings = warnings;
    }

    /**
     * Fetches the machine types and their current prices. {@code onResponse} receives the machine types by name, or
     * empty if there was no usable response.
     */
    public void fetchMachineTypes(Consumer<Optional<ImmutableMap<String, MachineType>>> onResponse) {
        send(Priority.SCHEDULING, HttpCall.get("/flavors"), response -> onResponse.accept(readCatalogue(response)));
    }

    /**
     * Launches {@code count} machines. {@code requestId} must be new, or be the id of an earlier request that got no
     * response or was refused.
     */
    public void launchMachines(
            String requestId, String type, String zone, boolean spot, int count, Consumer<LaunchResult> onResult) {
        byte[] body = Json.bytes(Json.object()
                .put("claim", requestId)
                .put("build", type)
                .put("grove", zone)
                .put("windfall", spot)
                .put("howMany", count));
        send(
                Priority.SCHEDULING,
                HttpCall.post("/hosts", body),
                response -> onResult.accept(readLaunchResult(response)));
    }

    /**
     * Deletes machines. {@code onResult} receives true if the cloud confirmed that the machines and everything on them
     * are deleted.
     */
    public void deleteMachines(List<String> machines, Consumer<Boolean> onResult) {
        ArrayNode names = Json.array();
        machines.forEach(names::add);
        byte[] body = Json.bytes(Json.object().set("hosts", names));
        send(
                Priority.HEARTBEATS,
                HttpCall.post("/hosts/delete", body),
                response -> onResult.accept(response.status() == 200));
    }

    /**
     * Lists all machines, page by page. {@code onResponse} receives empty if a page had no usable response. The list
     * lags behind the actual state, and the list in a later response can be older than the list in an earlier one.
     */
    public void listMachines(Consumer<Optional<ImmutableList<CloudMachine>>> onResponse) {
        listPage("", new ArrayList<>(), onResponse);
    }

    private void listPage(
            String lastName, List<CloudMachine> listed, Consumer<Optional<ImmutableList<CloudMachine>>> onResponse) {
        String target = "/hosts?" + (lastName.isEmpty() ? "" : "from=" + lastName + "&") + "limit=" + PAGE_SIZE;
        send(Priority.SCHEDULING, HttpCall.get(target), response -> {
            if (response.status() != 200) {
                onResponse.accept(Optional.empty());
                return;
            }
            try {
                JsonNode body = Json.object(response.body());
                for (JsonNode machineJson : Json.list(body, "hosts")) {
                    listed.add(readMachine(machineJson));
                }
                if (body.path("truncated").asBoolean() && !listed.isEmpty()) {
                    listPage(listed.get(listed.size() - 1).name(), listed, onResponse);
                } else {
                    onResponse.accept(Optional.of(ImmutableList.copyOf(listed)));
                }
            } catch (BadMessageException e) {
                warnInvalid(e);
                onResponse.accept(Optional.empty());
            }
        });
    }

    private static CloudMachine readMachine(JsonNode machineJson) throws BadMessageException {
        CloudMachine.Stage stage =
                switch (Json.text(machineJson, "stage")) {
                    case "booting" -> CloudMachine.Stage.BOOTING;
                    case "running" -> CloudMachine.Stage.RUNNING;
                    case "failed" -> CloudMachine.Stage.FAILED;
                    default -> throw new BadMessageException("unknown state of a machine");
                };
        return new CloudMachine(
                Json.text(machineJson, "nameId"),
                Json.text(machineJson, "endpoint"),
                Json.text(machineJson, "build"),
                Json.text(machineJson, "grove"),
                Json.bool(machineJson, "windfall"),
                stage,
                Json.number(machineJson, "heldS"));
    }

    private Optional<ImmutableMap<String, MachineType>> readCatalogue(HttpAnswer response) {
        if (response.status() != 200) {
            return Optional.empty();
        }
        try {
            ImmutableMap.Builder<String, MachineType> types = ImmutableMap.builder();
            for (JsonNode typeJson : Json.list(Json.object(response.body()), "builds")) {
                MachineType type = readMachineType(typeJson);
                types.put(type.name(), type);
            }
            return Optional.of(types.buildKeepingLast());
        } catch (BadMessageException e) {
            warnInvalid(e);
            return Optional.empty();
        }
    }

    private static MachineType readMachineType(JsonNode typeJson) throws BadMessageException {
        ImmutableList.Builder<String> zones = ImmutableList.builder();
        Json.list(typeJson, "groves").forEach(zone -> zones.add(zone.asText()));
        return new MachineType(
                Json.text(typeJson, "name"),
                new Resources(
                        Json.number(typeJson, "cpus"),
                        Json.number(typeJson, "accelerators"),
                        Json.number(typeJson, "memGb")),
                Json.number(typeJson, "fetchGbPerS"),
                Json.number(typeJson, "rate"),
                Json.number(typeJson, "lowPrice"),
                Json.number(typeJson, "startupS"),
                zones.build());
    }

    private LaunchResult readLaunchResult(HttpAnswer response) {
        try {
            return switch (response.status()) {
                case 200 -> new LaunchResult(LaunchResult.Kind.LAUNCHED, readLaunchedNames(response));
                case 503 -> LaunchResult.of(
                        isOutOfCapacity(response) ? LaunchResult.Kind.NO_CAPACITY : LaunchResult.Kind.REFUSED);
                case 400 -> LaunchResult.of(LaunchResult.Kind.REJECTED);
                case 429 -> LaunchResult.of(LaunchResult.Kind.REFUSED);
                default -> LaunchResult.of(LaunchResult.Kind.UNKNOWN);
            };
        } catch (BadMessageException e) {
            warnInvalid(e);
            return LaunchResult.of(response.status() == 200 ? LaunchResult.Kind.UNKNOWN : LaunchResult.Kind.REFUSED);
        }
    }

    private static ImmutableList<String> readLaunchedNames(HttpAnswer response) throws BadMessageException {
        ImmutableList.Builder<String> names = ImmutableList.builder();
        Json.list(Json.object(response.body()), "hosts").forEach(name -> names.add(name.asText()));
        return names.build();
    }

    private static boolean isOutOfCapacity(HttpAnswer response) throws BadMessageException {
        return Json.object(response.body()).path("error").asText().contains("capacity");
    }

    private void send(Priority priority, HttpCall call, Consumer<HttpAnswer> onResponse) {
        if (!limiter.submit(priority, 0, () -> http.call(address, call, REQUEST_TIMEOUT_NANOS, onResponse))) {
            onResponse.accept(new HttpAnswer(429, new byte[0]));
        }
    }

    private void warnInvalid(BadMessageException e) {
        warnings.warn("invalid cloud response", "reason=" + e.getMessage());
    }
}
