/** Squares what workers and the state service report with the cluster state. */
package org.spruceridge.reconciliation;
