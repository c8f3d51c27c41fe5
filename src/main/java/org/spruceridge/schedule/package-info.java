/**
 * The scheduler of "Convergent Scheduling 2.0", section IV: the terms and the Job-Machine matrix (equations 1 to 13), the
 * matching, and beside the paper reservations, quotas, preemption and evictions. The leader's scheduling loop and
 * its warm-up
 * call {@link org.spruceridge.schedule.Matching} on the event loop. It is a pure function of the cluster and two
 * clock values:
 * nothing here keeps state from one cycle to the next, and the cluster is only read.
 */
package org.spruceridge.schedule;
