package org.spruceridge.peer;

import org.spruceridge.upgrade.FeatureLevel;

/**
 * The version that a node announces to its peers.
 *
 * @param supportedLevel the number of the highest cluster feature level that the node supports
 * @param name the version of the node's software, for display
 */
public record MemberVersion(int supportedLevel, String name) {
    /** The version assumed for a heartbeat without version fields. Nodes of version 0.1 send such heartbeats. */
    static final MemberVersion UNANNOUNCED = new MemberVersion(FeatureLevel.BASE.number(), "0.1");

    /** The version of this node's software. */
    public static MemberVersion own() {
        String name = MemberVersion.class.getPackage().getImplementationVersion();
        return new MemberVersion(FeatureLevel.SUPPORTED.number(), name == null ? "(unpackaged)" : name);
    }
}
