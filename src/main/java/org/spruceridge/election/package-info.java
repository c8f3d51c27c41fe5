/**
 * Leader election. A single compare-and-swap on the state service sets the leader key and increments the term; the key
 * is attached to a lease. {@link org.spruceridge.election.Election} watches the leader key and decides when to
 * campaign, {@link org.spruceridge.election.Campaign} makes one attempt, and
 * {@link org.spruceridge.election.LeaderLease} renews the lease and reports whether it is still valid. Each node owns
 * one election and is notified of every term that it wins or loses. Everything runs on the node's event loop.
 */
package org.spruceridge.election;
