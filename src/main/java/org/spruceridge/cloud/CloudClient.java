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

/** The cloud's protocol with typed messages, within this node's share of its limit. */
public final class CloudClient {
    /** The most machines that one rental may name. */
    public static final int MOST_RENTED = 50;
    /** The most machines that one deletion may name. */
    public static final int MOST_DELETED = 100;

    private static final int PAGE = 500;
    private static final long REQUEST_TIMEOUT = Durations.nanos(5);

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

    /** The machine types and their present prices; empty if the cloud did not say. */
    public void catalogue(Consumer<Optional<ImmutableMap<String, MachineType>>> done) {
        send(Priority.SCHEDULING, HttpCall.get("/flavors"), answer -> done.accept(readCatalogue(answer)));
    }

    /** Asks for machines. The claim must be new, or that of a request that got no answer or a refusal. */
    public void rent(String claim, String type, String zone, boolean spot, int count, Consumer<Rental> done) {
        byte[] body = Json.bytes(Json.object()
                .put("claim", claim)
                .put("build", type)
                .put("grove", zone)
                .put("windfall", spot)
                .put("howMany", count));
        send(Priority.SCHEDULING, HttpCall.post("/hosts", body), answer -> done.accept(readRental(answer)));
    }

    /** Gives machines back; true means that they are gone with all that was on them. */
    public void delete(List<String> machines, Consumer<Boolean> done) {
        ArrayNode names = Json.array();
        machines.forEach(names::add);
        byte[] body = Json.bytes(Json.object().set("hosts", names));
        send(Priority.HEARTBEATS, HttpCall.post("/hosts/delete", body), answer -> done.accept(answer.status() == 200));
    }

    /** All machines, page by page; empty if the cloud did not say. The list lags and may go backwards. */
    public void machines(Consumer<Optional<ImmutableList<HostInfo>>> done) {
        page("", new ArrayList<>(), done);
    }

    private void page(String from, List<HostInfo> sofar, Consumer<Optional<ImmutableList<HostInfo>>> done) {
        String target = "/hosts?" + (from.isEmpty() ? "" : "from=" + from + "&") + "limit=" + PAGE;
        send(Priority.SCHEDULING, HttpCall.get(target), answer -> {
            if (answer.status() != 200) {
                done.accept(Optional.empty());
                return;
            }
            try {
                JsonNode body = Json.object(answer.body());
                for (JsonNode item : Json.list(body, "hosts")) {
                    sofar.add(host(item));
                }
                if (body.path("truncated").asBoolean() && !sofar.isEmpty()) {
                    page(sofar.get(sofar.size() - 1).name(), sofar, done);
                } else {
                    done.accept(Optional.of(ImmutableList.copyOf(sofar)));
                }
            } catch (BadMessageException e) {
                unreadable(e);
                done.accept(Optional.empty());
            }
        });
    }

    private static HostInfo host(JsonNode item) throws BadMessageException {
        HostInfo.Stage stage =
                switch (Json.text(item, "stage")) {
                    case "booting" -> HostInfo.Stage.BOOTING;
                    case "running" -> HostInfo.Stage.RUNNING;
                    case "failed" -> HostInfo.Stage.FAILED;
                    default -> throw new BadMessageException("unknown state of a machine");
                };
        return new HostInfo(
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
                ImmutableList.Builder<String> zones = ImmutableList.builder();
                Json.list(item, "groves").forEach(z -> zones.add(z.asText()));
                String name = Json.text(item, "name");
                out.put(
                        name,
                        new MachineType(
                                name,
                                new Resources(
                                        Json.number(item, "cpus"),
                                        Json.number(item, "accelerators"),
                                        Json.number(item, "memGb")),
                                Json.number(item, "fetchGbPerS"),
                                Json.number(item, "rate"),
                                Json.number(item, "lowPrice"),
                                Json.number(item, "startupS"),
                                zones.build()));
            }
            return Optional.of(out.buildKeepingLast());
        } catch (BadMessageException e) {
            unreadable(e);
            return Optional.empty();
        }
    }

    private Rental readRental(HttpAnswer answer) {
        try {
            switch (answer.status()) {
                case 200:
                    ImmutableList.Builder<String> names = ImmutableList.builder();
                    Json.list(Json.object(answer.body()), "hosts").forEach(n -> names.add(n.asText()));
                    return new Rental(Rental.Kind.RENTED, names.build());
                case 503:
                    boolean full =
                            Json.object(answer.body()).path("error").asText().contains("capacity");
                    return Rental.of(full ? Rental.Kind.NO_CAPACITY : Rental.Kind.REFUSED);
                case 400:
                    return Rental.of(Rental.Kind.REJECTED);
                case 429:
                    return Rental.of(Rental.Kind.REFUSED);
                default:
                    return Rental.of(Rental.Kind.UNKNOWN);
            }
        } catch (BadMessageException e) {
            unreadable(e);
            return Rental.of(answer.status() == 200 ? Rental.Kind.UNKNOWN : Rental.Kind.REFUSED);
        }
    }

    private void send(Priority priority, HttpCall call, Consumer<HttpAnswer> done) {
        if (!limiter.submit(priority, 0, () -> http.call(address, call, REQUEST_TIMEOUT, done))) {
            done.accept(new HttpAnswer(429, new byte[0]));
        }
    }

    private void unreadable(BadMessageException e) {
        warnings.warn("unreadable answer of the cloud", e.getMessage());
    }
}
