/**
 * The work of a node while it is the leader. {@link org.spruceridge.leader.Leader} connects the components of one term:
 * failover, reconciliation, scheduling, writes, commands and autoscaling. The node creates a leader when it wins an
 * election, passes worker heartbeats to the leader, and stops the leader at the end of the term. Everything runs on the
 * node's event loop.
 */
package org.spruceridge.leader;
