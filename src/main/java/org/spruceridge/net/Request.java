package org.spruceridge.net;

/** A complete request that was received; the path is without the query. */
public record Request(String method, String path, byte[] body) {}
