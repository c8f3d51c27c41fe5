package org.spruceridge.autoscaling;

import java.util.function.BooleanSupplier;
import org.spruceridge.cloud.CloudClient;
import org.spruceridge.cluster.Cluster;
import org.spruceridge.net.CancellationScope;
import org.spruceridge.net.Durations;
import org.spruceridge.net.Loop;

/**
 * The context shared by all classes that send requests to the cloud.
 *
 * @param scope the scope of pending timers and callbacks; closed at the end of the term
 * @param isLeader whether the lease on the leader key is still valid; no requests are sent after it has expired
 */
record CloudRequestContext(
        Loop loop, CancellationScope scope, CloudClient cloud, Cluster cluster, BooleanSupplier isLeader) {
    /** The delay before retrying a request that got no response or could not be sent. */
    static final long RETRY_INTERVAL_NANOS = Durations.nanos(2);
}
