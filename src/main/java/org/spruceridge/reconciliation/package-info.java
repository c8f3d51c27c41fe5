/**
 * Reconciles the leader's cluster state with the reports of workers and of the consensus-backed key-value store.
 * Heartbeats are reconciled with bindings and get commands in response; a watch reports accepted and cancelled jobs.
 * All objects belong to the leader of one term and run on the event loop.
 */
package org.spruceridge.reconciliation;
