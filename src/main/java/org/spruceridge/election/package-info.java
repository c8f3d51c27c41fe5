/** Leader election and the leader lease, by compare-and-swap on the state service. */
package org.spruceridge.election;
