package org.spruceridge.api;

import com.google.common.collect.ImmutableList;
import java.util.ArrayDeque;
import java.util.Deque;
import org.spruceridge.net.Loop;

/** The jobs that this node lately told users to be cancelled. */
public final class RecentCancellations {
    private final Loop loop;
    private final long retentionNanos;
    private final Deque<Entry> entries = new ArrayDeque<>();

    private record Entry(String job, long addedAt) {}

    /** Each is kept for {@code retentionNanos} nanoseconds. */
    public RecentCancellations(Loop loop, long retentionNanos) {
        this.loop = loop;
        this.retentionNanos = retentionNanos;
    }

    void add(String job) {
        entries.add(new Entry(job, loop.nanos()));
    }

    /** Those told within the time for which they are kept. */
    public ImmutableList<String> recent() {
        while (!entries.isEmpty() && loop.nanos() - entries.peek().addedAt > retentionNanos) {
            entries.remove();
        }
        return entries.stream().map(Entry::job).collect(ImmutableList.toImmutableList());
    }
}
