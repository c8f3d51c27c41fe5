package org.spruceridge.state;

import com.fasterxml.jackson.databind.JsonNode;

/** A key, its value, and its mod revision, which is the revision of the last change of the key. */
public record Entry(String key, JsonNode value, long modRevision) {}
