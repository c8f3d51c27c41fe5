/**
 * Scaling the cluster out and in, and detecting failed machines.
 *
 * <p>The leader starts one {@link org.spruceridge.autoscaling.Autoscaler} per term. It follows the cloud's lists of machine
 * types and machines, releases the tasks of expired leases, deletes dead machines, launches machines for tasks that found no
 * capacity and deletes idle ones. A request without an answer is repeated under the same name or for the same machines. All
 * of it runs on the one event loop, by timers of the term's scope.
 */
package org.spruceridge.autoscaling;
