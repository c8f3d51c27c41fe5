/**
 * Scenario tests. Each test injects faults into a simulated cluster and asserts the guarantees that must hold despite
 * these faults. For each rule of the protocol, docs/safety.md lists the scenarios that fail if the code that enforces
 * the rule is removed.
 */
package org.spruceridge.scenario;
