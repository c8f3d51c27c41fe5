/** One controller node: its duties, and the leader that it becomes. */
package org.spruceridge.node;
