package org.spruceridge.state;

import com.fasterxml.jackson.databind.JsonNode;

/** A change to one key, reported by a watch. */
public sealed interface Change {
    /** The key that changed. */
    String key();

    /** The state service's revision at which the change was made. */
    long modRevision();

    /** The key was created or got a new value. */
    record Put(String key, JsonNode value, long modRevision) implements Change {}

    /** The key was deleted, by a transaction or because its lease expired or was revoked. */
    record Delete(String key, long modRevision) implements Change {}
}
