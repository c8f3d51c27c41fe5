/**
 * Scaling the cluster out and in, and detecting failed machines.
 *
 * <p>The leader starts one {@link org.spruceridge.autoscaling.Autoscaler} per term. The autoscaler polls the cloud's
 * lists of machine types and machines. It releases the tasks of machines with expired leases, deletes dead machines,
 * launches machines for unplaced tasks, and deletes idle machines. A launch without a response is retried with the same
 * request id. A deletion without a confirmation is retried for the same machines. All code runs on the single event
 * loop, driven by timers in the term's scope.
 */
package org.spruceridge.autoscaling;
