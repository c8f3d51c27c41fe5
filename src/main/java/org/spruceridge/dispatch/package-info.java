/**
 * Decides when scheduling cycles run, carries out their plans, and sends commands directly to workers. Owned by the leader
 * of one term; everything runs on the event loop.
 */
package org.spruceridge.dispatch;
