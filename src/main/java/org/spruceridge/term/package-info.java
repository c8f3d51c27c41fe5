/**
 * What the parts of a leader share for one term: the term itself, the context with cluster state and settings, and the
 * leader's metrics, which outlive the term. The node creates a {@link org.spruceridge.term.LeaderContext} at each
 * election; the packages of the leader read it on the event loop.
 */
package org.spruceridge.term;
