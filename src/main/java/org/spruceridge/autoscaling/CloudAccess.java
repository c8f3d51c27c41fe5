package org.spruceridge.autoscaling;

import java.util.function.BooleanSupplier;
import org.spruceridge.cloud.CloudClient;
import org.spruceridge.cluster.Cluster;
import org.spruceridge.net.CancellationScope;
import org.spruceridge.net.Durations;
import org.spruceridge.net.Loop;

/**
 * What all that asks the cloud for something shares.
 *
 * @param scope all that is pending; closed at the end of the term
 * @param leads whether the lease of the leader key still holds: past it the cloud is asked for nothing
 */
record CloudAccess(Loop loop, CancellationScope scope, CloudClient cloud, Cluster cluster, BooleanSupplier leads) {
    /** After this time a request that was not answered, or may not be sent now, is tried again. */
    static final long RETRY_INTERVAL_NANOS = Durations.nanos(2);
}
