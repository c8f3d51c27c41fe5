/** Heartbeats between the controller nodes. */
package org.spruceridge.peer;
