package org.spruceridge.cluster;

import com.google.common.collect.ImmutableList;

/** A type of machine that the cloud offers. Prices are per hour, {@code bootS} is the boot time in seconds. */
public record MachineType(
        String name,
        Resources capacity,
        double fetchGbPerS,
        double price,
        double spotPrice,
        double bootS,
        ImmutableList<String> zones) {

    /** The price per hour of a spot machine or of an on-demand machine. */
    public double price(boolean spot) {
        return spot ? spotPrice : price;
    }
}
