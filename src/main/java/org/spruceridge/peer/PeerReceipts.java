package org.spruceridge.peer;

import com.google.common.collect.ImmutableMap;

/**
 * What a node has received from its peers, as it tells them.
 *
 * @param leaderTerm the term of the leader whose recent progress the node has received; 0 if there is none, {@link
 *     #TERM_NOT_ANNOUNCED} if the node's version does not announce it
 * @param latest the receipt of the latest heartbeat of each peer, by host name; empty if the node does not lead
 */
public record PeerReceipts(long leaderTerm, ImmutableMap<String, Receipt> latest) {
    /** The term of a node whose version announces none, and does not read progress from the state service. */
    public static final long TERM_NOT_ANNOUNCED = Long.MAX_VALUE;

    /** The receipts of a node whose version announces none. */
    static final PeerReceipts NOT_ANNOUNCED = new PeerReceipts(TERM_NOT_ANNOUNCED, ImmutableMap.of());

    /**
     * The receipt of a heartbeat.
     *
     * @param sentAtNanos when it was sent, on the monotonic clock of its sender
     * @param receivedAtNanos when it was received, on the monotonic clock of the receiver
     */
    public record Receipt(long sentAtNanos, long receivedAtNanos) {}
}
