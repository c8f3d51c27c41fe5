/** Election and failover, and what a leader does: reports, scheduling cycles, durable writes, direct commands. */
package org.spruceridge.leader;
