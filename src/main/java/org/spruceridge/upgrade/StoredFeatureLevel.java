package org.spruceridge.upgrade;

/**
 * The cluster feature level as found in the state service.
 *
 * @param modRevision the revision that wrote the key, 0 if there is none yet
 */
public record StoredFeatureLevel(FeatureLevel level, long modRevision) {}
