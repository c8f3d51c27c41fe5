/**
 * One controller node. {@link org.spruceridge.node.Node} connects all components, follows the election, and holds the
 * leader object while the node leads. Other classes manage the node's share of the services' rate limits, answer worker
 * heartbeats, health checks and metrics requests, and keep the machine type catalogue. The command {@code serve}
 * creates the node. All code of the package runs on the single event loop.
 */
package org.spruceridge.node;
