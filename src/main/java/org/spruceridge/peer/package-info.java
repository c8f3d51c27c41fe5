/**
 * Heartbeats between the controller nodes: their content, their MessagePack form, the transport, and
 * {@link org.spruceridge.peer.PeerMonitor}, which sends this node's heartbeat and answers what the latest heartbeats of
 * the others say. The node calls it on its event loop; Netty delivers incoming frames on the same loop.
 */
package org.spruceridge.peer;
