/**
 * One controller node: {@link org.spruceridge.node.Node} connects all components, follows the election, and holds the
 * leader object while it leads. The package also manages the node's share of the services' rate limits, answers worker
 * heartbeats, health checks and metrics requests, and keeps the machine type catalogue. The command {@code serve}
 * creates the node; all its code runs on the single event loop.
 */
package org.spruceridge.node;
