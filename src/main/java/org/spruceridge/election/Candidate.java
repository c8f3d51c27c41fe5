package org.spruceridge.election;

import org.spruceridge.record.LeaderRecord;

/**
 * This process as it stands for election.
 *
 * @param incarnation tells this process from earlier ones on the same host
 */
record Candidate(String hostName, String incarnation) {
    LeaderRecord recordOf(long term) {
        return new LeaderRecord(hostName, incarnation, term);
    }

    /** True if this host wrote the record, in this process or in an earlier one. */
    boolean isHostOf(LeaderRecord record) {
        return record.hostName().equals(hostName);
    }

    /** True if this process wrote the record. */
    boolean isAuthorOf(LeaderRecord record) {
        return isHostOf(record) && record.incarnation().equals(incarnation);
    }
}
