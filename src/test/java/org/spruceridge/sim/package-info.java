/**
 * A cluster in simulated time. The controller nodes run the real code; the clock, the network, the state service, the
 * cloud, the workers and the users are simulated according to the published protocols. Scenario tests inject faults,
 * and the protocol's rules are checked at every event. Everything runs on the test's thread, which advances the
 * simulated time.
 */
package org.spruceridge.sim;
