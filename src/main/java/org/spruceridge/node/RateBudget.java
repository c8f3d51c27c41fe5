package org.spruceridge.node;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spruceridge.config.Settings;
import org.spruceridge.net.Loop;
import org.spruceridge.net.RateLimiter;

/**
 * This node's share of the rate limits of the state service and of the cloud. The limits apply to all controller nodes
 * together. The leader gets the larger share because it does nearly all writes.
 */
final class RateBudget {
    private static final Logger LOG = LoggerFactory.getLogger(RateBudget.class);

    /** The share of the state service's write limit that is reserved for user requests on all nodes together. */
    private static final double USER_WRITES_SHARE = 0.35;

    /**
     * The burst of user writes that an idle node can send at once, because users often send many requests at once to
     * one node. The size is given as the time in seconds in which the state service accepts that number of writes at
     * its write limit. The service itself allows a burst of one second.
     */
    private static final double USER_WRITES_BURST_S = 0.5;

    /** The share of a limit that is used. The rest is a margin, because the clocks of services and nodes differ. */
    private static final double USABLE_SHARE = 0.95;

    /** The leader's share of the cloud's rate limit. The followers divide the rest equally. */
    private static final double LEADER_CLOUD_SHARE = 0.8;

    private static final double FOLLOWERS_CLOUD_SHARE = 0.2;

    /** The role of this node in the cluster. */
    enum Role {
        LEADER,
        FOLLOWER
    }

    private final Settings settings;
    private final RateLimiter stateLimiter;
    private final RateLimiter cloudLimiter;
    private boolean stateRatesReduced;

    /** Creates a budget whose limiters have the rates of a follower. */
    RateBudget(Loop loop, Settings settings) {
        this.settings = settings;
        this.stateLimiter = new RateLimiter(loop, 1, 1, 1);
        this.cloudLimiter = new RateLimiter(loop, 1, 1, 1);
        apply(Role.FOLLOWER);
    }

    RateLimiter stateLimiter() {
        return stateLimiter;
    }

    RateLimiter cloudLimiter() {
        return cloudLimiter;
    }

    /** Sets the rates of both limiters to those of the given role. */
    void apply(Role role) {
        applyStateRates(role);
        cloudLimiter.setRates(settings.cloud().rps() * USABLE_SHARE * cloudShare(role), 1, 1, 1);
    }

    /**
     * Called when the state service rejected a request that was within the current limits. If the settings announce
     * lower limits, these must have taken effect. This node then switches to the announced limits.
     */
    void stateRateExceeded(Role role) {
        if (stateRatesReduced || !settings.state().ratesWillFall()) {
            return;
        }
        stateRatesReduced = true;
        LOG.info("state service rate limits reduced");
        apply(role);
    }

    private void applyStateRates(Role role) {
        Settings.StateLimits limits =
                stateRatesReduced ? settings.state().next() : settings.state().current();
        int nodes = settings.nodeCount();
        double reads = limits.rps() * USABLE_SHARE / nodes;
        double writes = limits.writeRps() * USABLE_SHARE;
        double userWritesShare = USER_WRITES_SHARE / nodes;
        // Apart from user writes, a follower only writes its candidacy in an election or the machine types.
        double otherWritesShare = role == Role.LEADER ? 1 - USER_WRITES_SHARE : userWritesShare;
        stateLimiter.setRates(reads, writes * otherWritesShare, writes * userWritesShare, writes * USER_WRITES_BURST_S);
    }

    private double cloudShare(Role role) {
        int nodes = settings.nodeCount();
        if (nodes == 1) {
            return 1;
        }
        return role == Role.LEADER ? LEADER_CLOUD_SHARE : FOLLOWERS_CLOUD_SHARE / (nodes - 1);
    }
}
