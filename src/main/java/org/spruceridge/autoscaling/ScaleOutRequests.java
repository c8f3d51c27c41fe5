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
 * Asks the cloud for machines. A claim has a name that is used once; one without an answer is sent again under its name, so
 * that nothing is rented twice.
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

    /** A request that is on its way. */
    private record Request(MachineKind offer, int count, long askedAt) {}

    /** {@code leaseS} stands for the boot time of a type that is not known. */
    ScaleOutRequests(CloudAccess access, long term, double leaseS) {
        this.access = access;
        this.cluster = access.cluster();
        this.term = term;
        this.leaseS = leaseS;
    }

    /** True unless the offer was refused a moment ago. */
    boolean isAvailable(MachineKind offer) {
        return unavailableUntil.getOrDefault(offer, Long.MIN_VALUE)
                <= access.loop().nanos();
    }

    /** Tells what was asked for and not answered yet. */
    void forEachPending(BiConsumer<MachineKind, Integer> consumer) {
        pendingRequests.values().forEach(request -> consumer.accept(request.offer, request.count));
    }

    /** Asks for so many machines, or as many as go into one request. */
    void launch(MachineKind offer, int count) {
        String name = term + "-" + (++requestCount);
        Request request = new Request(
                offer,
                Math.min(count, CloudClient.MAX_LAUNCH_BATCH),
                access.loop().nanos());
        pendingRequests.put(name, request);
        LOG.info(
                "renting {} {} in {}, {}, as {}",
                request.count,
                offer.type(),
                offer.zone(),
                offer.spot() ? "spot" : "ordinary",
                name);
        ask(name, request);
    }

    private void ask(String name, Request request) {
        if (!access.leads().getAsBoolean()) {
            access.scope().after(CloudAccess.RETRY_INTERVAL_NANOS, () -> ask(name, request));
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
                                // Machines may have been rented: the same claim asks what came of it and rents nothing
                                // twice.
                                access.scope().after(CloudAccess.RETRY_INTERVAL_NANOS, () -> ask(name, request));
                                return;
                            }
                            pendingRequests.remove(name);
                            recordResult(name, request, result);
                        }));
    }

    private void recordResult(String name, Request request, LaunchResult result) {
        long now = access.loop().nanos();
        MachineKind offer = request.offer;
        for (String id : result.machines()) {
            if (cluster.machine(id) == null && !cluster.wasRemoved(id)) {
                Machine m = new Machine(id, "", offer, now, now);
                m.launchedAt(request.askedAt);
                cluster.add(m);
            }
        }
        if (result.machines().size() < request.count) {
            LOG.info(
                    "claim {}: {}, {} machines",
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
