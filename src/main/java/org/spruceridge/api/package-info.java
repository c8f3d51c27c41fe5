/**
 * The HTTP API of a node: {@link org.spruceridge.api.Router} dispatches every request, and
 * {@link org.spruceridge.api.JobsEndpoint} serves the users' submissions, polls and cancellations from the job records in
 * the state service. The node creates both; the HTTP server calls the router on the one event loop.
 */
package org.spruceridge.api;
