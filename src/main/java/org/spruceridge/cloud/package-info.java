/**
 * The client of the cloud API for launching, listing and deleting machines, with typed messages.
 *
 * <p>The autoscaler and the machine type catalogue call the client on the event loop. Its callbacks run on the same
 * event loop. No other package contains the wire names of the API.
 */
package org.spruceridge.cloud;
