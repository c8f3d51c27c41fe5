/**
 * Leader election. A single compare-and-swap on the state service sets the leader key and increments the term. The key
 * is attached to a lease. {@link org.spruceridge.election.Election} watches the leader key and decides when to
 * campaign. {@link org.spruceridge.election.Campaign} makes one attempt to become the leader.
 * {@link org.spruceridge.election.LeaderLease} renews the lease and reports whether it is still valid. Each node
 * creates one election, which notifies the node of every term that the node wins or loses. Everything runs on the
 * node's event loop.
 */
package org.spruceridge.election;
