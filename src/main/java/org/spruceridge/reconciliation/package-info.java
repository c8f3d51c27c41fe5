/**
 * Brings the leader's cluster state in line with what workers and the consensus-backed key-value store report: heartbeats
 * are reconciled with bindings and answered with commands, and accepted and cancelled jobs are followed. Owned by the leader
 * of one term; everything runs on the event loop.
 */
package org.spruceridge.reconciliation;
