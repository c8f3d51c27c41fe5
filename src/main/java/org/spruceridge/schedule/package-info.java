/**
 * The scheduler: terms, matrix and matching of the paper, reservations and preemption. Pure functions of the cluster
 * state.
 */
package org.spruceridge.schedule;
