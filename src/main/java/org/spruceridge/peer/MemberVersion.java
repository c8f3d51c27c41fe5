package org.spruceridge.peer;

import org.spruceridge.upgrade.FeatureLevel;

/**
 * The version that a node announces to the others.
 *
 * @param supportedLevel the number of the highest cluster feature level that the node supports
 * @param name the version of its program, for display
 */
public record MemberVersion(int supportedLevel, String name) {
    /** Stands for version 0.1, whose heartbeats carry no version. */
    static final MemberVersion UNANNOUNCED = new MemberVersion(FeatureLevel.BASE.number(), "0.1");

    /** The version of this program. */
    public static MemberVersion own() {
        String name = MemberVersion.class.getPackage().getImplementationVersion();
        return new MemberVersion(FeatureLevel.SUPPORTED.number(), name == null ? "(unpackaged)" : name);
    }
}
