/**
 * The scheduler of the paper "Convergent Scheduling 2.0", section IV: the terms, the Job-Machine matrix (equations 1 to
 * 13) and the matching. Reservations, quotas, preemption and evictions are additions to the paper. The leader's
 * scheduling loop and its warm-up call {@link org.spruceridge.schedule.Matching} on the event loop. Matching is a pure
 * function of the cluster and two clock values. The package keeps no state between cycles and only reads the cluster.
 */
package org.spruceridge.schedule;
