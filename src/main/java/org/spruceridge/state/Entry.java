package org.spruceridge.state;

import com.fasterxml.jackson.databind.JsonNode;

/** A key with its value and its mod revision, the revision of its last change. */
public record Entry(String key, JsonNode value, long modRevision) {}
