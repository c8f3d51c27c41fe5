package org.spruceridge.upgrade;

/** The cluster feature level as it was found on record, with the stamp of its key, 0 if there is none yet. */
public record StoredFeatureLevel(FeatureLevel level, long modRevision) {}
