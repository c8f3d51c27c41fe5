package org.spruceridge.peer;

import org.spruceridge.upgrade.FeatureLevel;

/**
 * What a node says of its own version.
 *
 * @param supportedLevel the number of the highest cluster feature level that it supports
 * @param name the version of its program, for display
 */
public record MemberVersion(int supportedLevel, String name) {
    /** Version 0.1 does not say. */
    static final MemberVersion UNANNOUNCED = new MemberVersion(FeatureLevel.BASE.number(), "0.1");

    /** That of this program. */
    public static MemberVersion own() {
        String name = MemberVersion.class.getPackage().getImplementationVersion();
        return new MemberVersion(FeatureLevel.SUPPORTED.number(), name == null ? "(unpackaged)" : name);
    }
}
