/** The cluster state in memory: jobs, machines, and the bindings between them. */
package org.spruceridge.cluster;
