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
 * @param scope the scope of pending timers and callbacks, which is closed at the end of the term
 * @param isLeader true while the lease on the leader key is valid. While it is false, no machine is launched,
 *     and only machines that the cloud reports as failed are deleted.
 */
record CloudRequestContext(
        Loop loop, CancellationScope scope, CloudClient cloud, Cluster cluster, BooleanSupplier isLeader) {
    /** The delay before a retry of a request that got no usable response or could not be sent. */
    static final long RETRY_INTERVAL_NANOS = Durations.nanos(2);
}
