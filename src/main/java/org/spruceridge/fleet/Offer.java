package org.spruceridge.fleet;

/** A kind of machine that can be asked for: a type in a zone, spot or ordinary. */
record Offer(String type, String zone, boolean spot) {}
