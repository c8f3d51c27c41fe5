/**
 * One controller node: {@link org.spruceridge.node.Node} wires all parts together, follows the election, and holds the
 * leader object while it leads. The package also owns the node's shares of the services' rate limits, the answers to worker
 * heartbeats, health checks and metrics, and the machine type catalogue. The command {@code serve} creates the node; all
 * its code runs on the one event loop.
 */
package org.spruceridge.node;
