/**
 * The HTTP API of a node. {@link org.spruceridge.api.Router} dispatches every request. {@link
 * org.spruceridge.api.JobsEndpoint} serves submissions, polls and cancellations by users, based on the job records in
 * the state service. The node creates both objects. The HTTP server calls the router on the single event loop.
 */
package org.spruceridge.api;
