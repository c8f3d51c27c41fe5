/**
 * The client of the cloud's API for launching, listing and deleting machines, with typed messages.
 *
 * <p>The autoscaler and the catalogue of machine types call it on the event loop; the results come back on the event loop as
 * well. This package alone knows the wire names of the API.
 */
package org.spruceridge.cloud;
