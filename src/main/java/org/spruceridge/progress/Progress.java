package org.spruceridge.progress;

/** The numbers of done and running tasks of a job. */
public record Progress(int done, int running) {
    /** The progress of a job of which no task is done or running. */
    public static final Progress NONE = new Progress(0, 0);
}
