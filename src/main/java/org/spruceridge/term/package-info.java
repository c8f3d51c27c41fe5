/**
 * The data shared by the components of a leader during one term: the term, the context with cluster state and settings,
 * and the leader's metrics, which outlive the term. The node creates a {@link org.spruceridge.term.LeaderContext} each
 * time it is elected; the leader's components read it on the event loop.
 */
package org.spruceridge.term;
