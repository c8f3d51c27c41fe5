/**
 * Failover: rebuilds the cluster state of a new term from the records in the state service. The leader starts one
 * {@link org.spruceridge.failover.Failover} at the beginning of its term, on the event loop, and schedules nothing before
 * it is complete.
 */
package org.spruceridge.failover;
