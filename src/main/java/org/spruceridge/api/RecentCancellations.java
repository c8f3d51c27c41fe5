package org.spruceridge.api;

import com.google.common.collect.ImmutableList;
import java.util.ArrayDeque;
import java.util.Deque;
import org.spruceridge.net.Loop;

/**
 * The jobs whose cancellation this node recently confirmed to a user. The node's heartbeats announce them to its peers.
 */
public final class RecentCancellations {
    private final Loop loop;
    private final long retentionNanos;
    private final Deque<Entry> entries = new ArrayDeque<>();

    private record Entry(String job, long addedAt) {}

    /** Creates an empty list that retains each added job for {@code retentionNanos} nanoseconds. */
    public RecentCancellations(Loop loop, long retentionNanos) {
        this.loop = loop;
        this.retentionNanos = retentionNanos;
    }

    void add(String job) {
        entries.add(new Entry(job, loop.nanos()));
    }

    /** The ids of the retained jobs, oldest first. */
    public ImmutableList<String> recentJobIds() {
        while (!entries.isEmpty() && loop.nanos() - entries.peek().addedAt > retentionNanos) {
            entries.remove();
        }
        return entries.stream().map(Entry::job).collect(ImmutableList.toImmutableList());
    }
}
