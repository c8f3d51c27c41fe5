package org.spruceridge.cloud;

/** A machine in the cloud's machine list; {@code ageS} is the time since its launch, in seconds. */
public record CloudMachine(
        String name, String address, String type, String zone, boolean spot, Stage stage, double ageS) {
    /** The state of the machine according to the cloud. */
    public enum Stage {
        BOOTING,
        RUNNING,
        FAILED
    }
}
