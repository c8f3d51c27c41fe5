/**
 * The in-memory cluster state of one leader: jobs, machines, and the bindings of tasks to machines.
 *
 * <p>A {@link org.spruceridge.cluster.Cluster} belongs to one term and is discarded when the term ends. The failover
 * fills it from the records; heartbeats, scheduling cycles, committed transactions and the autoscaler update it. All of
 * this runs on the single event loop, so the package needs no synchronisation. It performs no I/O. Times are
 * nanoseconds on the monotonic clock unless a name says otherwise.
 */
package org.spruceridge.cluster;
