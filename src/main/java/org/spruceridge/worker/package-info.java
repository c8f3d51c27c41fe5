/**
 * The messages exchanged with workers: heartbeats, commands and the results of direct commands. This package alone maps the
 * names of the wire to the terms of the code. The node, the leader and the command sender call it, on the event loop.
 */
package org.spruceridge.worker;
