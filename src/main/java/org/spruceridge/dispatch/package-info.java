/**
 * Triggers scheduling cycles, executes their plans, and sends commands directly to workers. All objects belong to the
 * leader of one term and run on the event loop.
 */
package org.spruceridge.dispatch;
