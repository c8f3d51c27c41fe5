package org.spruceridge.election;

import java.util.Optional;
import org.spruceridge.record.LeaderRecord;

/**
 * The state of the leader key at a revision of the state service.
 *
 * @param record the recorded leader, empty if the key was absent
 * @param modRevision the revision that last wrote the key, 0 if it was absent
 * @param revision the revision at which the key was observed
 */
record LeaderKeyState(Optional<LeaderRecord> record, long modRevision, long revision) {}
