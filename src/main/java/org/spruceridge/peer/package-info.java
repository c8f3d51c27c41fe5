/**
 * Heartbeats between the controller nodes: their content, their MessagePack encoding and their transport. {@link
 * org.spruceridge.peer.PeerMonitor} sends this node's heartbeat and provides the information in the latest heartbeats
 * of the peers. The node calls the monitor on its event loop. Netty delivers incoming frames on the same loop.
 */
package org.spruceridge.peer;
