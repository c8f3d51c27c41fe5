/**
 * Heartbeats between the controller nodes: their content, their MessagePack encoding, their transport, and {@link
 * org.spruceridge.peer.PeerMonitor}, which sends this node's heartbeat and provides the information in the latest
 * heartbeats of the peers. The node calls it on its event loop; Netty delivers incoming frames on the same loop.
 */
package org.spruceridge.peer;
