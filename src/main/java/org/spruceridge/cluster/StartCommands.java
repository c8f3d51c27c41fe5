package org.spruceridge.cluster;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Start commands that were sent to the current incarnation of a worker and can still be executed, or executed again. A
 * start command is sent directly, in a request to the worker, or in the response to a heartbeat.
 *
 * <p>A direct start without a response is <em>uncertain</em>. It can arrive at any later time, so only proof ends the
 * uncertainty: the worker lists the attempt, and ignores the command from then on; the worker has accepted a higher
 * fencing token, and rejects the command; or the worker begins a new incarnation, and rejects the command. All times are
 * nanoseconds on the monotonic clock.
 */
public final class StartCommands {
    private final Set<Long> unresolvedDirectStarts = new HashSet<>();
    /** The attempts that the response to the latest heartbeat starts. */
    private final Set<Long> startsInResponse = new HashSet<>();

    /**
     * The fencing token of each direct start that a worker would execute again if the worker did not know the attempt,
     * by attempt.
     */
    private final Map<Long, Long> repeatableStartTokens = new HashMap<>();

    /** The time at which each direct start without a response became uncertain, by attempt, oldest first. */
    private final Map<Long, Long> uncertainSince = new LinkedHashMap<>();

    private long acceptedFencingToken;
    /** The highest fencing token of a direct start to this worker, in whatever incarnation; 0 if there was none. */
    private long highestStartToken;

    StartCommands() {}

    /**
     * True if a start command for this attempt can still be executed although the worker has not listed the attempt: it
     * was sent directly and has no result yet, or it is in the response to the latest heartbeat.
     */
    public boolean canStillArrive(long attempt) {
        return isDirectStartUnresolved(attempt) || startsInResponse.contains(attempt);
    }

    /** True if a start command for this attempt was sent directly and has no result yet. */
    public boolean isDirectStartUnresolved(long attempt) {
        return unresolvedDirectStarts.contains(attempt);
    }

    /**
     * True if a duplicate of a direct start command for this attempt can still be executed. The network can deliver a
     * request again, at any time. A worker that knows the attempt ignores the duplicate; a worker that has forgotten
     * the attempt starts it again, unless the worker has accepted a fencing token higher than that of the command.
     */
    public boolean isRepeatable(long attempt) {
        return repeatableStartTokens.containsKey(attempt);
    }

    /** True if the worker will not start this attempt again after it has forgotten the attempt. */
    public boolean isForgettable(long attempt) {
        return !canStillArrive(attempt) && !isRepeatable(attempt);
    }

    /** Records that a start command for this attempt is sent directly, with this fencing token. */
    public void recordDirectStartSent(long attempt, long fencingToken) {
        unresolvedDirectStarts.add(attempt);
        repeatableStartTokens.put(attempt, fencingToken);
        highestStartToken = Math.max(highestStartToken, fencingToken);
    }

    /**
     * True if a heartbeat with this fencing token comes from a worker that has lost its state, or is a late copy: the
     * worker had accepted a higher token before, and keeps the highest one as long as it runs.
     */
    public boolean isBelowAcceptedFencingToken(long fencingToken) {
        return fencingToken < acceptedFencingToken;
    }

    /**
     * True if a worker whose token is {@code fencingToken} would execute a duplicate of some direct start that was sent
     * to it, if the worker had lost its state and began again with the same incarnation.
     */
    public boolean canRepeatStartWith(long fencingToken) {
        return fencingToken <= highestStartToken;
    }

    /**
     * True if a direct start was executed, but {@code listedAttempts} lacks its attempt, and a duplicate of the start can
     * still be executed. As the worker was not told to forget the attempt, it has lost its state.
     */
    public boolean hasRepeatableStartMissingFrom(Set<Long> listedAttempts) {
        for (long attempt : repeatableStartTokens.keySet()) {
            if (!listedAttempts.contains(attempt) && !isDirectStartUnresolved(attempt)) {
                return true;
            }
        }
        return false;
    }

    /** True if a direct start was sent that a worker without knowledge of its attempt would execute again. */
    public boolean hasRepeatableStart() {
        return !repeatableStartTokens.isEmpty();
    }

    /** Records that the worker has accepted this fencing token. It rejects direct commands with a lower token. */
    public void recordAcceptedFencingToken(long fencingToken) {
        if (fencingToken > acceptedFencingToken) {
            acceptedFencingToken = fencingToken;
            unresolvedDirectStarts.removeIf(attempt -> repeatableStartTokens.get(attempt) < fencingToken);
            repeatableStartTokens.values().removeIf(token -> token < fencingToken);
            uncertainSince.keySet().retainAll(unresolvedDirectStarts);
        }
    }

    /**
     * Records that the worker lists this attempt. It ignores all start commands for the attempt, as long as it does not
     * forget the attempt, see {@link #isForgettable}.
     */
    public void recordListed(long attempt) {
        recordDirectStartResolved(attempt);
    }

    /** Records that the result of the direct start command for this attempt is known. */
    public void recordDirectStartResolved(long attempt) {
        unresolvedDirectStarts.remove(attempt);
        uncertainSince.remove(attempt);
    }

    /**
     * Records that the worker did not respond to the direct start command for this attempt. Does nothing if proof shows
     * already that the command can start nothing.
     */
    public void recordDirectStartUnanswered(long attempt, long now) {
        if (isDirectStartUnresolved(attempt)) {
            uncertainSince.putIfAbsent(attempt, now);
        }
    }

    /** Records that the response to the latest heartbeat starts this attempt. */
    public void recordStartInResponse(long attempt) {
        startsInResponse.add(attempt);
    }

    /**
     * Records that a newer heartbeat arrived. A worker sends a heartbeat only once it has executed the response to the
     * previous one or will ignore it, because the worker has at most one heartbeat in flight.
     */
    void recordHeartbeat() {
        startsInResponse.clear();
    }

    /** True if a direct start command to this incarnation got no response and can still start a task. */
    public boolean hasUncertainStart() {
        return !uncertainSince.isEmpty();
    }

    /** The time since which a start has been uncertain; {@link EventTimes#NOT_HAPPENED} if none is uncertain. */
    long uncertainSince() {
        return hasUncertainStart() ? uncertainSince.values().iterator().next() : EventTimes.NOT_HAPPENED;
    }

    /**
     * Discards all start commands. A worker rejects direct commands to an earlier incarnation, and ignores responses to
     * heartbeats of an earlier incarnation.
     */
    void clear() {
        unresolvedDirectStarts.clear();
        startsInResponse.clear();
        repeatableStartTokens.clear();
        uncertainSince.clear();
    }
}
