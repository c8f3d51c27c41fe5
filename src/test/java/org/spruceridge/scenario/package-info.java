/**
 * Scenario tests: each injects faults into a simulated cluster and asserts the guarantees that must hold despite them.
 * The safety page lists, for each rule of the protocol, the scenarios that fail if the guard of the rule is removed.
 */
package org.spruceridge.scenario;
