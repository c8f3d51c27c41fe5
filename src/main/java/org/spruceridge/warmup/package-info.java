/**
 * Warm-up of a follower: runs the leader's code on synthetic state, so that it is compiled before the node is elected.
 * The node starts the warm-up once it knows a leader and stops it when it is elected. It runs in short steps on the
 * node's event loop.
 */
package org.spruceridge.warmup;
