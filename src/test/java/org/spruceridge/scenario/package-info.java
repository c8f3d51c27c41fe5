/**
 * Scenario tests: each injects faults into a simulated cluster and asserts what must hold in spite of them. The safety page
 * names for each rule of the protocol the scenarios that fail without its guard.
 */
package org.spruceridge.scenario;
