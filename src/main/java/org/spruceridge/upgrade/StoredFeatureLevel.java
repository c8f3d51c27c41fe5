package org.spruceridge.upgrade;

/**
 * The cluster feature level as read from the state service.
 *
 * @param modRevision the revision at which the key of the level was last written; 0 if the key does not exist yet
 */
public record StoredFeatureLevel(FeatureLevel level, long modRevision) {}
