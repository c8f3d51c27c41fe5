package org.spruceridge.net;

/** A request that has come in whole. */
public record Request(String method, String path, byte[] body) {}
