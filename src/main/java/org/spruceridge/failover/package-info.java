/** Rebuilds the cluster state of a new term from the records. */
package org.spruceridge.failover;
