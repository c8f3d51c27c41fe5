package org.spruceridge.autoscaling;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spruceridge.cloud.CloudClient;
import org.spruceridge.cloud.LaunchResult;
import org.spruceridge.cluster.Cluster;
import org.spruceridge.cluster.Machine;
import org.spruceridge.cluster.MachineKind;
import org.spruceridge.net.Durations;

/**
 * Requests machines from the cloud. Each request has a name that is used once; a request without an answer is sent again
 * under its name, which makes it idempotent.
 */
final class ScaleOutRequests {
    private static final Logger LOG = LoggerFactory.getLogger(ScaleOutRequests.class);

    private final CloudAccess access;
    private final Cluster cluster;
    private final long term;
    private final double leaseS;
    private final Map<MachineKind, Long> unavailableUntil = new HashMap<>();
    private final Map<String, Request> pendingRequests = new LinkedHashMap<>();
    private long requestCount;

    /** A request without a result yet. */
    private record Request(MachineKind offer, int count, long requestedAt) {}

    /** {@code leaseS} stands for the boot time of a type that is not known. */
    ScaleOutRequests(CloudAccess access, long term, double leaseS) {
        this.access = access;
        this.cluster = access.cluster();
        this.term = term;
        this.leaseS = leaseS;
    }

    /** True unless the cloud refused machines of this kind a short time ago. */
    boolean isAvailable(MachineKind offer) {
        return unavailableUntil.getOrDefault(offer, Long.MIN_VALUE)
                <= access.loop().nanos();
    }

    /** Passes on what was requested and has no result yet. */
    void forEachPending(BiConsumer<MachineKind, Integer> consumer) {
        pendingRequests.values().forEach(request -> consumer.accept(request.offer, request.count));
    }

    /** Requests so many machines, or as many as one request may name. */
    void launch(MachineKind offer, int count) {
        String name = term + "-" + (++requestCount);
        Request request = new Request(
                offer,
                Math.min(count, CloudClient.MAX_LAUNCH_BATCH),
                access.loop().nanos());
        pendingRequests.put(name, request);
        LOG.info(
                "launching machines request={} count={} machineType={} zone={} spot={}",
                name,
                request.count,
                offer.type(),
                offer.zone(),
                offer.spot());
        send(name, request);
    }

    private void send(String name, Request request) {
        if (!access.leads().getAsBoolean()) {
            access.scope().after(CloudAccess.RETRY_INTERVAL_NANOS, () -> send(name, request));
            return;
        }
        MachineKind offer = request.offer;
        access.cloud()
                .launch(
                        name,
                        offer.type(),
                        offer.zone(),
                        offer.spot(),
                        request.count,
                        access.scope().guard(result -> {
                            if (result.kind() == LaunchResult.Kind.UNKNOWN) {
                                // Machines may have been launched: the same name returns them and launches none twice.
                                access.scope().after(CloudAccess.RETRY_INTERVAL_NANOS, () -> send(name, request));
                                return;
                            }
                            pendingRequests.remove(name);
                            recordResult(name, request, result);
                        }));
    }

    private void recordResult(String name, Request request, LaunchResult result) {
        long now = access.loop().nanos();
        MachineKind offer = request.offer;
        for (String machineName : result.machines()) {
            if (cluster.machine(machineName) == null && !cluster.wasRemoved(machineName)) {
                Machine machine = new Machine(machineName, "", offer, now, now);
                machine.launchedAt(request.requestedAt);
                cluster.add(machine);
            }
        }
        if (result.machines().size() < request.count) {
            LOG.info(
                    "fewer machines launched than requested request={} outcome={} count={}",
                    name,
                    result.kind(),
                    result.machines().size());
            double bootS = cluster.types().containsKey(offer.type())
                    ? cluster.types().get(offer.type()).bootS()
                    : leaseS;
            boolean full =
                    result.kind() == LaunchResult.Kind.NO_CAPACITY || result.kind() == LaunchResult.Kind.LAUNCHED;
            unavailableUntil.put(offer, now + (full ? Durations.nanos(bootS) : CloudAccess.RETRY_INTERVAL_NANOS));
        }
    }
}
