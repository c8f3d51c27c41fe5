package org.spruceridge.autoscaling;

import java.util.function.BooleanSupplier;
import org.spruceridge.cloud.CloudClient;
import org.spruceridge.cluster.Cluster;
import org.spruceridge.net.CancellationScope;
import org.spruceridge.net.Durations;
import org.spruceridge.net.Loop;

/**
 * What all classes that send requests to the cloud share.
 *
 * @param scope all that is pending; closed at the end of the term
 * @param leads whether the lease of the leader key still holds: after it no request is sent
 */
record CloudAccess(Loop loop, CancellationScope scope, CloudClient cloud, Cluster cluster, BooleanSupplier leads) {
    /** After this time a request that was not answered, or may not be sent now, is retried. */
    static final long RETRY_INTERVAL_NANOS = Durations.nanos(2);
}
