/** The event loop, HTTP server and client, JSON, request priorities, rate limits and latencies. */
package org.spruceridge.net;
