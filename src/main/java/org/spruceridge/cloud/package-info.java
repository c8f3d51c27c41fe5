/**
 * The client of the cloud API for launching, listing and deleting machines, with typed messages.
 *
 * <p>The autoscaler and the machine type catalogue call it on the event loop, and callbacks run on the event loop too.
 * No other package contains the wire names of the API.
 */
package org.spruceridge.cloud;
