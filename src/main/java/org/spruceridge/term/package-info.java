/** What the parts of a leader share for one term: the won election, the cluster state and the metrics. */
package org.spruceridge.term;
