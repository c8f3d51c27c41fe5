/** Runs scheduling cycles and sends commands straight to workers. */
package org.spruceridge.dispatch;
