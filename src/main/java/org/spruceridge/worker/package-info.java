/**
 * The messages exchanged with workers: heartbeats, commands and the results of direct commands. No other package
 * contains the wire names of these messages. The node, the leader and the command sender use the package on the event
 * loop.
 */
package org.spruceridge.worker;
