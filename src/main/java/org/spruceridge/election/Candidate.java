package org.spruceridge.election;

import org.spruceridge.record.LeaderRecord;

/**
 * The identity of this process in elections.
 *
 * @param incarnation distinguishes this process from earlier processes on the same host
 */
record Candidate(String hostName, String incarnation) {
    LeaderRecord leaderRecord(long term) {
        return new LeaderRecord(hostName, incarnation, term);
    }

    /** True if a process on this host wrote the record: this process or an earlier one. */
    boolean hasSameHost(LeaderRecord record) {
        return record.hostName().equals(hostName);
    }

    /** True if this process wrote the record. */
    boolean hasSameIncarnation(LeaderRecord record) {
        return hasSameHost(record) && record.incarnation().equals(incarnation);
    }
}
