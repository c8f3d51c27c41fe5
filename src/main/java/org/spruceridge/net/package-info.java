/**
 * The event loop and what runs directly on it: HTTP server and client with their connection limits, the request queue
 * under overload, rate limiting of outbound requests, JSON, latency histograms and rate-limited warnings. Called by all
 * packages that talk to other processes or set timers. Everything runs on the thread of the one event loop; only {@link
 * org.spruceridge.net.NettyLoop#execute} may be called from other threads.
 */
package org.spruceridge.net;
