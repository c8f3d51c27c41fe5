/**
 * The duties of a node while it is the leader. {@link org.spruceridge.leader.Leader} connects the parts of one term:
 * failover, reconciliation, scheduling, writes, commands, autoscaling. The node creates it when it is elected, passes
 * worker heartbeats to it, and stops it at the end of the term. All of it runs on the node's event loop.
 */
package org.spruceridge.leader;
