/**
 * Client of the state service, the consensus-backed key-value store that holds every durable record: typed requests and
 * responses, leases, watches and compare-and-swap transactions.
 *
 * <p>The election, the leader and the user API use the client. They and all callbacks run on the single event loop. The
 * names on the wire are mapped in {@link org.spruceridge.state.StateRequests}, {@link
 * org.spruceridge.state.StateResponses} and {@link org.spruceridge.state.Transaction}.
 */
package org.spruceridge.state;
