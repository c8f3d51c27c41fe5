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
 * Requests machines from the cloud. Each request has a unique id. A request without a response is retried with the same
 * id, which makes it idempotent.
 */
final class ScaleOutRequests {
    private static final Logger LOG = LoggerFactory.getLogger(ScaleOutRequests.class);

    private final CloudRequestContext context;
    private final Cluster cluster;
    private final long term;
    private final double leaseS;
    private final Map<MachineKind, Long> unavailableUntil = new HashMap<>();
    private final Map<String, Request> pendingRequests = new LinkedHashMap<>();
    private long requestCount;

    /** A request that has no result yet. */
    private record Request(MachineKind kind, int count, long requestedAt) {}

    /** {@code leaseS} is the lease duration in seconds. It serves as the boot time of unknown machine types. */
    ScaleOutRequests(CloudRequestContext context, long term, double leaseS) {
        this.context = context;
        this.cluster = context.cluster();
        this.term = term;
        this.leaseS = leaseS;
    }

    /** True unless the cloud recently refused a launch of this kind or launched fewer machines than requested. */
    boolean isAvailable(MachineKind kind) {
        return unavailableUntil.getOrDefault(kind, Long.MIN_VALUE)
                <= context.loop().nanos();
    }

    /** Calls {@code consumer} with the kind and count of each request that has no result yet. */
    void forEachPending(BiConsumer<MachineKind, Integer> consumer) {
        pendingRequests.values().forEach(request -> consumer.accept(request.kind, request.count));
    }

    /** Requests {@code count} machines, but at most {@link CloudClient#MAX_LAUNCH_BATCH}. */
    void launch(MachineKind kind, int count) {
        String requestId = term + "-" + (++requestCount);
        Request request = new Request(
                kind,
                Math.min(count, CloudClient.MAX_LAUNCH_BATCH),
                context.loop().nanos());
        pendingRequests.put(requestId, request);
        LOG.info(
                "launching machines request={} count={} machineType={} zone={} spot={}",
                requestId,
                request.count,
                kind.type(),
                kind.zone(),
                kind.spot());
        send(requestId, request);
    }

    private void send(String requestId, Request request) {
        if (!context.isLeader().getAsBoolean()) {
            context.scope().after(CloudRequestContext.RETRY_INTERVAL_NANOS, () -> send(requestId, request));
            return;
        }
        MachineKind kind = request.kind;
        context.cloud()
                .launchMachines(
                        requestId,
                        kind.type(),
                        kind.zone(),
                        kind.spot(),
                        request.count,
                        context.scope().guard(launchResult -> {
                            if (launchResult.kind() == LaunchResult.Kind.UNKNOWN) {
                                // Machines might have been launched. A retry with the same id returns their names
                                // and launches no machine twice.
                                context.scope()
                                        .after(
                                                CloudRequestContext.RETRY_INTERVAL_NANOS,
                                                () -> send(requestId, request));
                                return;
                            }
                            pendingRequests.remove(requestId);
                            recordResult(requestId, request, launchResult);
                        }));
    }

    private void recordResult(String requestId, Request request, LaunchResult launchResult) {
        long now = context.loop().nanos();
        MachineKind kind = request.kind;
        for (String machineName : launchResult.machines()) {
            if (cluster.machine(machineName) == null && !cluster.wasRemoved(machineName)) {
                Machine machine = new Machine(machineName, "", kind, now, now);
                machine.launchedAt(request.requestedAt);
                cluster.add(machine);
            }
        }
        if (launchResult.machines().size() < request.count) {
            LOG.info(
                    "fewer machines launched than requested request={} outcome={} count={}",
                    requestId,
                    launchResult.kind(),
                    launchResult.machines().size());
            double bootS = cluster.machineTypes().containsKey(kind.type())
                    ? cluster.machineTypes().get(kind.type()).bootS()
                    : leaseS;
            boolean isOutOfCapacity = launchResult.kind() == LaunchResult.Kind.NO_CAPACITY
                    || launchResult.kind() == LaunchResult.Kind.LAUNCHED;
            unavailableUntil.put(
                    kind, now + (isOutOfCapacity ? Durations.nanos(bootS) : CloudRequestContext.RETRY_INTERVAL_NANOS));
        }
    }
}
