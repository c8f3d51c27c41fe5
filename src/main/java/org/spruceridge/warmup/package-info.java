/**
 * Warm-up of a follower: runs the leader's code on synthetic state, so that the JVM compiles the code before the node
 * is elected. The node starts the warm-up once it knows a leader, and stops the warm-up when it is elected. The warm-up
 * runs in short steps on the node's event loop.
 */
package org.spruceridge.warmup;
