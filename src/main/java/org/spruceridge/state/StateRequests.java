package org.spruceridge.state;

import org.spruceridge.net.HttpCall;
import org.spruceridge.net.Json;

/** Creates the HTTP requests of the state service's protocol, which defines the names on the wire. */
final class StateRequests {
    /** The start of every list request's target. */
    static final String LIST_TARGET = "/store?starts=";

    private static final int LIST_PAGE_ENTRIES = 500;
    private static final byte[] EMPTY_BODY = new byte[0];

    private StateRequests() {}

    static HttpCall get(String key) {
        return HttpCall.get("/store/" + key);
    }

    /**
     * Requests one page of a listing. {@code afterKey} is the last key of the previous page; empty for the first page.
     */
    static HttpCall list(String prefix, String afterKey) {
        String from = afterKey.isEmpty() ? "" : "&from=" + afterKey;
        return HttpCall.get(LIST_TARGET + prefix + from + "&limit=" + LIST_PAGE_ENTRIES);
    }

    static HttpCall commit(Transaction transaction) {
        return HttpCall.post("/txn", transaction.body());
    }

    static HttpCall createLease(long ttlMillis) {
        return HttpCall.post("/grants", Json.bytes(Json.object().put("ttlMs", ttlMillis)));
    }

    static HttpCall renewLease(long leaseId) {
        return HttpCall.post("/grants/" + leaseId + "/renew", EMPTY_BODY);
    }

    static HttpCall revokeLease(long leaseId) {
        return new HttpCall("DELETE", "/grants/" + leaseId, EMPTY_BODY);
    }

    /**
     * Creates a request to which the service responds as soon as there is a change with a higher revision than {@code
     * fromRevision}. Without such a change, the service responds when {@code blockMs} milliseconds have passed.
     */
    static HttpCall watch(String prefix, long fromRevision, long blockMs) {
        return HttpCall.get("/follow?starts=" + prefix + "&from=" + fromRevision + "&blockMs=" + blockMs);
    }
}
