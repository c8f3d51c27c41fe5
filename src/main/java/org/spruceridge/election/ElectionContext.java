package org.spruceridge.election;

import org.spruceridge.net.CancellationScope;
import org.spruceridge.net.Loop;
import org.spruceridge.state.StateClient;

/**
 * What the parts of one node's election share.
 *
 * @param scope all that the election has pending; closed when it stops
 */
record ElectionContext(Loop loop, CancellationScope scope, StateClient state, LeaseTimes leaseTimes) {}
