/**
 * The in-memory cluster state of one leader: jobs, machines, and the bindings of tasks to machines.
 *
 * <p>A {@link org.spruceridge.cluster.Cluster} belongs to one term and is discarded when the term ends. The failover
 * fills the cluster from the records. Heartbeats, scheduling cycles, committed transactions and the autoscaler update
 * it. The package needs no synchronisation, because all its callers run on the single event loop. It performs no I/O.
 * Times are nanoseconds on the monotonic clock unless a name says otherwise.
 */
package org.spruceridge.cluster;
