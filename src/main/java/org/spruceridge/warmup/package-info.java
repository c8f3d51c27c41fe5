/** Runs a leader's code on synthetic state while the node follows, so that it is compiled before it is needed. */
package org.spruceridge.warmup;
