package org.spruceridge.state;

import com.fasterxml.jackson.databind.JsonNode;

/** A key, its value, and its mod revision: the revision at which the key last changed. */
public record Entry(String key, JsonNode value, long modRevision) {}
