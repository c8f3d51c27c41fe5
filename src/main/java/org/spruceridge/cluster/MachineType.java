package org.spruceridge.cluster;

import com.google.common.collect.ImmutableList;

/** A machine type that the cloud offers. Prices are per hour; {@code bootS} is the boot time in seconds. */
public record MachineType(
        String name,
        Resources capacity,
        double fetchGbPerS,
        double price,
        double spotPrice,
        double bootS,
        ImmutableList<String> zones) {

    /** The hourly price of a spot machine if {@code spot} is true, otherwise of an on-demand machine. */
    public double price(boolean spot) {
        return spot ? spotPrice : price;
    }
}
