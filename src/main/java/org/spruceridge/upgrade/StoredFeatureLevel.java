package org.spruceridge.upgrade;

/**
 * The cluster feature level as read from the state service.
 *
 * @param modRevision the revision at which the key was written; 0 if it does not exist yet
 */
public record StoredFeatureLevel(FeatureLevel level, long modRevision) {}
