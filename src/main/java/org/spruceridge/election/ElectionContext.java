package org.spruceridge.election;

import org.spruceridge.net.CancellationScope;
import org.spruceridge.net.Loop;
import org.spruceridge.state.StateClient;

/**
 * The dependencies shared by the classes of one node's election.
 *
 * @param scope cancels the election's pending timers and callbacks when the election stops
 */
record ElectionContext(Loop loop, CancellationScope scope, StateClient state, LeaseTimes leaseTimes) {}
