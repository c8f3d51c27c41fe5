/**
 * Failover: rebuilds the cluster state of a new term from the records in the state service. The leader starts one
 * {@link org.spruceridge.failover.Failover} on the event loop at the beginning of its term. The leader schedules no
 * tasks until the failover is complete.
 */
package org.spruceridge.failover;
