package org.spruceridge.cluster;

/** What machines are alike in for whoever rents or places: their type, their zone, and whether they are spot machines. */
public record Kind(String type, String zone, boolean spot) {}
