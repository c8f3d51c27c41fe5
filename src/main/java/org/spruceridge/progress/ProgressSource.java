package org.spruceridge.progress;

import java.util.Optional;
import java.util.function.Consumer;

/** Finds the current progress of open jobs. */
public interface ProgressSource {
    /** Passes the progress of an open job, or empty if no source knows it that is recent enough for a user. */
    void find(String jobId, Consumer<Optional<Progress>> onResult);
}
