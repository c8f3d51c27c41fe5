package org.spruceridge.cluster;

import com.google.common.collect.ImmutableList;

/** A type of machine that the cloud rents. */
public record MachineType(
        String name,
        Resources capacity,
        double fetchGbPerS,
        double price,
        double spotPrice,
        double bootS,
        ImmutableList<String> zones) {

    /** The price an hour of one kind. */
    public double price(boolean spot) {
        return spot ? spotPrice : price;
    }
}
