package org.spruceridge.net;

/** A complete request received by the server; {@code path} excludes the query. */
public record Request(String method, String path, byte[] body) {}
