/**
 * The cluster state in memory of one leader: jobs, machines, and the bindings of tasks to machines.
 *
 * <p>A {@link org.spruceridge.cluster.Cluster} belongs to one term and is discarded with it. Failover fills it from the
 * records; heartbeats, scheduling cycles, committed transactions and the autoscaler update it. All of this runs on the one
 * event loop, so nothing here is synchronised. Nothing here does input or output. Times are nanoseconds on the steady clock
 * unless a name says otherwise.
 */
package org.spruceridge.cluster;
