/**
 * A cluster on simulated time: the controller nodes are real, and the clock, the network, the state service, the cloud, the
 * workers and the users around them are simulated from the published protocols. Scenario tests inject faults into it; it
 * checks the protocol's rules at every event. All of it runs on the one thread of the test, which also advances the time.
 */
package org.spruceridge.sim;
