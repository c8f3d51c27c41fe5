package org.spruceridge.autoscaling;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spruceridge.cloud.CloudClient;
import org.spruceridge.cloud.Rental;
import org.spruceridge.cluster.Cluster;
import org.spruceridge.cluster.Machine;
import org.spruceridge.cluster.MachineKind;
import org.spruceridge.net.Durations;

/**
 * Asks the cloud for machines. A claim has a name that is used once; one without an answer is sent again under its name, so
 * that nothing is rented twice.
 */
final class RentalRequests {
    private static final Logger LOG = LoggerFactory.getLogger(RentalRequests.class);

    private final CloudAccess access;
    private final Cluster cluster;
    private final long term;
    private final double leaseS;
    private final Map<MachineKind, Long> refusedUntil = new HashMap<>();
    private final Map<String, Claim> claims = new LinkedHashMap<>();
    private long claimCount;

    /** A request that is on its way. */
    private record Claim(MachineKind offer, int count, long askedAt) {}

    /** {@code leaseS} stands for the boot time of a type that is not known. */
    RentalRequests(CloudAccess access, long term, double leaseS) {
        this.access = access;
        this.cluster = access.cluster();
        this.term = term;
        this.leaseS = leaseS;
    }

    /** True unless the offer was refused a moment ago. */
    boolean available(MachineKind offer) {
        return refusedUntil.getOrDefault(offer, Long.MIN_VALUE) <= access.loop().nanos();
    }

    /** Tells what was asked for and not answered yet. */
    void forEachPending(BiConsumer<MachineKind, Integer> consumer) {
        claims.values().forEach(claim -> consumer.accept(claim.offer, claim.count));
    }

    /** Asks for so many machines, or as many as go into one request. */
    void rent(MachineKind offer, int count) {
        String name = term + "-" + (++claimCount);
        Claim claim = new Claim(
                offer, Math.min(count, CloudClient.MOST_RENTED), access.loop().nanos());
        claims.put(name, claim);
        LOG.info(
                "renting {} {} in {}, {}, as {}",
                claim.count,
                offer.type(),
                offer.zone(),
                offer.spot() ? "spot" : "ordinary",
                name);
        ask(name, claim);
    }

    private void ask(String name, Claim claim) {
        if (!access.leads().getAsBoolean()) {
            access.scope().after(CloudAccess.RETRY, () -> ask(name, claim));
            return;
        }
        MachineKind offer = claim.offer;
        access.cloud()
                .rent(
                        name,
                        offer.type(),
                        offer.zone(),
                        offer.spot(),
                        claim.count,
                        access.scope().guard(rental -> {
                            if (rental.kind() == Rental.Kind.UNKNOWN) {
                                // Machines may have been rented: the same claim asks what came of it and rents nothing
                                // twice.
                                access.scope().after(CloudAccess.RETRY, () -> ask(name, claim));
                                return;
                            }
                            claims.remove(name);
                            rented(name, claim, rental);
                        }));
    }

    private void rented(String name, Claim claim, Rental rental) {
        long now = access.loop().nanos();
        MachineKind offer = claim.offer;
        for (String id : rental.machines()) {
            if (cluster.machine(id) == null && !cluster.wasRemoved(id)) {
                Machine m = new Machine(id, "", offer, now, now);
                m.launchedAt(claim.askedAt);
                cluster.add(m);
            }
        }
        if (rental.machines().size() < claim.count) {
            LOG.info(
                    "claim {}: {}, {} machines",
                    name,
                    rental.kind(),
                    rental.machines().size());
            double bootS = cluster.types().containsKey(offer.type())
                    ? cluster.types().get(offer.type()).bootS()
                    : leaseS;
            boolean full = rental.kind() == Rental.Kind.NO_CAPACITY || rental.kind() == Rental.Kind.RENTED;
            refusedUntil.put(offer, now + (full ? Durations.nanos(bootS) : CloudAccess.RETRY));
        }
    }
}
