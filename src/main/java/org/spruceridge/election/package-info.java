/**
 * Leader election: one compare-and-swap on the state service sets the leader key and raises the term, and a lease keeps
 * the key. {@link org.spruceridge.election.Election} follows the leader key and decides when to campaign,
 * {@link org.spruceridge.election.Campaign} carries out one attempt, and {@link org.spruceridge.election.LeaderLease}
 * renews the lease and says whether it is still valid. The node owns one election and is told of each term that it wins
 * or loses. All of it runs on the node's event loop.
 */
package org.spruceridge.election;
