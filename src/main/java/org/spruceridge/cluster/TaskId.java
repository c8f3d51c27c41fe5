package org.spruceridge.cluster;

/** A task: its job and its number in it. */
public record TaskId(String job, int index) {
    @Override
    public String toString() {
        return job + "/" + index;
    }
}
