/**
 * The event loop and the components that run directly on it: the HTTP server and client with their connection limits,
 * the request queue used under overload, rate limiting of outbound requests, JSON, latency histograms and rate-limited
 * warnings. Used by all packages that communicate with other processes or set timers. Everything runs on the thread of
 * the single event loop; only {@link org.spruceridge.net.NettyLoop#execute} may be called from other threads.
 */
package org.spruceridge.net;
