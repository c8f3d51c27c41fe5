package org.spruceridge.cloud;

/** A machine as the cloud's list has it. */
public record CloudMachine(
        String name, String address, String type, String zone, boolean spot, Stage stage, double ageS) {
    /** How far it has come. */
    public enum Stage {
        BOOTING,
        RUNNING,
        FAILED
    }
}
