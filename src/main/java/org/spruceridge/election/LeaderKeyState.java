package org.spruceridge.election;

import java.util.Optional;
import org.spruceridge.record.LeaderRecord;

/**
 * What the leader key held at a revision of the state service.
 *
 * @param record the leader on record, empty if the key was absent
 * @param modRevision the revision that wrote the key, 0 if it was absent
 * @param revision the revision as of which this is known
 */
record LeaderKeyState(Optional<LeaderRecord> record, long modRevision, long revision) {}
