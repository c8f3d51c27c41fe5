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

/** The client of the cloud's API. It keeps to this node's share of the rate limit of the cloud. */
public final class CloudClient {
    /** The maximum number of machines in one launch request. */
    public static final int MAX_LAUNCH_BATCH = 50;
    /** The maximum number of machines in one deletion. */
    public static final int MAX_DELETE_BATCH = 100;

    private static final int PAGE_SIZE = 500;
    private static final long REQUEST_TIMEOUT_NANOS = Durations.nanos(5);

    private final HttpClient http;
    private final Address address;
    private final RateLimiter limiter;
    private final RateLimitedWarnings warnings;

    /** Calls go to {@code address}, within the limits of {@code limiter}. */
    public CloudClient(HttpClient http, Address address, RateLimiter limiter, RateLimitedWarnings warnings) {
        this.http = http;
        this.address = address;
        this.limiter = limiter;
        this.warnings = warnings;
    }

    /** Gets the machine types and their present prices; empty if there was no usable answer. */
    public void catalogue(Consumer<Optional<ImmutableMap<String, MachineType>>> done) {
        send(Priority.SCHEDULING, HttpCall.get("/flavors"), answer -> done.accept(readCatalogue(answer)));
    }

    /** Launches machines. The request id must be new, or that of a request that got no answer or was refused. */
    public void launch(
            String requestId, String type, String zone, boolean spot, int count, Consumer<LaunchResult> done) {
        byte[] body = Json.bytes(Json.object()
                .put("claim", requestId)
                .put("build", type)
                .put("grove", zone)
                .put("windfall", spot)
                .put("howMany", count));
        send(Priority.SCHEDULING, HttpCall.post("/hosts", body), answer -> done.accept(readLaunchResult(answer)));
    }

    /** Deletes machines; true means that they are deleted with everything on them. */
    public void delete(List<String> machines, Consumer<Boolean> done) {
        ArrayNode names = Json.array();
        machines.forEach(names::add);
        byte[] body = Json.bytes(Json.object().set("hosts", names));
        send(Priority.HEARTBEATS, HttpCall.post("/hosts/delete", body), answer -> done.accept(answer.status() == 200));
    }

    /** Lists all machines, page by page; empty if there was no usable answer. The list lags and may go backwards. */
    public void machines(Consumer<Optional<ImmutableList<CloudMachine>>> done) {
        page("", new ArrayList<>(), done);
    }

    private void page(String from, List<CloudMachine> listed, Consumer<Optional<ImmutableList<CloudMachine>>> done) {
        String target = "/hosts?" + (from.isEmpty() ? "" : "from=" + from + "&") + "limit=" + PAGE_SIZE;
        send(Priority.SCHEDULING, HttpCall.get(target), answer -> {
            if (answer.status() != 200) {
                done.accept(Optional.empty());
                return;
            }
            try {
                JsonNode body = Json.object(answer.body());
                for (JsonNode item : Json.list(body, "hosts")) {
                    listed.add(host(item));
                }
                if (body.path("truncated").asBoolean() && !listed.isEmpty()) {
                    page(listed.get(listed.size() - 1).name(), listed, done);
                } else {
                    done.accept(Optional.of(ImmutableList.copyOf(listed)));
                }
            } catch (BadMessageException e) {
                warnInvalid(e);
                done.accept(Optional.empty());
            }
        });
    }

    private static CloudMachine host(JsonNode item) throws BadMessageException {
        CloudMachine.Stage stage =
                switch (Json.text(item, "stage")) {
                    case "booting" -> CloudMachine.Stage.BOOTING;
                    case "running" -> CloudMachine.Stage.RUNNING;
                    case "failed" -> CloudMachine.Stage.FAILED;
                    default -> throw new BadMessageException("unknown state of a machine");
                };
        return new CloudMachine(
                Json.text(item, "nameId"),
                Json.text(item, "endpoint"),
                Json.text(item, "build"),
                Json.text(item, "grove"),
                Json.bool(item, "windfall"),
                stage,
                Json.number(item, "heldS"));
    }

    private Optional<ImmutableMap<String, MachineType>> readCatalogue(HttpAnswer answer) {
        if (answer.status() != 200) {
            return Optional.empty();
        }
        try {
            ImmutableMap.Builder<String, MachineType> out = ImmutableMap.builder();
            for (JsonNode item : Json.list(Json.object(answer.body()), "builds")) {
                MachineType type = machineType(item);
                out.put(type.name(), type);
            }
            return Optional.of(out.buildKeepingLast());
        } catch (BadMessageException e) {
            warnInvalid(e);
            return Optional.empty();
        }
    }

    private static MachineType machineType(JsonNode item) throws BadMessageException {
        ImmutableList.Builder<String> zones = ImmutableList.builder();
        Json.list(item, "groves").forEach(zone -> zones.add(zone.asText()));
        return new MachineType(
                Json.text(item, "name"),
                new Resources(Json.number(item, "cpus"), Json.number(item, "accelerators"), Json.number(item, "memGb")),
                Json.number(item, "fetchGbPerS"),
                Json.number(item, "rate"),
                Json.number(item, "lowPrice"),
                Json.number(item, "startupS"),
                zones.build());
    }

    private LaunchResult readLaunchResult(HttpAnswer answer) {
        try {
            return switch (answer.status()) {
                case 200 -> new LaunchResult(LaunchResult.Kind.LAUNCHED, launchedNames(answer));
                case 503 -> LaunchResult.of(
                        isOutOfCapacity(answer) ? LaunchResult.Kind.NO_CAPACITY : LaunchResult.Kind.REFUSED);
                case 400 -> LaunchResult.of(LaunchResult.Kind.REJECTED);
                case 429 -> LaunchResult.of(LaunchResult.Kind.REFUSED);
                default -> LaunchResult.of(LaunchResult.Kind.UNKNOWN);
            };
        } catch (BadMessageException e) {
            warnInvalid(e);
            return LaunchResult.of(answer.status() == 200 ? LaunchResult.Kind.UNKNOWN : LaunchResult.Kind.REFUSED);
        }
    }

    private static ImmutableList<String> launchedNames(HttpAnswer answer) throws BadMessageException {
        ImmutableList.Builder<String> names = ImmutableList.builder();
        Json.list(Json.object(answer.body()), "hosts").forEach(name -> names.add(name.asText()));
        return names.build();
    }

    private static boolean isOutOfCapacity(HttpAnswer answer) throws BadMessageException {
        return Json.object(answer.body()).path("error").asText().contains("capacity");
    }

    private void send(Priority priority, HttpCall call, Consumer<HttpAnswer> done) {
        if (!limiter.submit(priority, 0, () -> http.call(address, call, REQUEST_TIMEOUT_NANOS, done))) {
            done.accept(new HttpAnswer(429, new byte[0]));
        }
    }

    private void warnInvalid(BadMessageException e) {
        warnings.warn("invalid cloud response", "reason=" + e.getMessage());
    }
}
