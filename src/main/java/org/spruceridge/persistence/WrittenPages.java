package org.spruceridge.persistence;

import java.util.LinkedHashSet;
import java.util.Set;
import org.spruceridge.cluster.Machine;
import org.spruceridge.persistence.PageIndex.Page;
import org.spruceridge.persistence.RecordPages.TaskChunk;

/** The pages that one transaction writes, in the order in which they were added. */
final class WrittenPages {
    private final Set<Page<Machine>> bindings = new LinkedHashSet<>();
    private final Set<Page<TaskChunk>> chunks = new LinkedHashSet<>();

    /** The pages of bindings; the caller adds to them. */
    Set<Page<Machine>> bindings() {
        return bindings;
    }

    /** The pages of finished tasks; the caller adds to them. */
    Set<Page<TaskChunk>> chunks() {
        return chunks;
    }

    int count() {
        return bindings.size() + chunks.size();
    }

    /** The key of one of the pages. */
    String verificationKey() {
        return bindings.isEmpty()
                ? chunks.iterator().next().key()
                : bindings.iterator().next().key();
    }

    /** The transaction was committed at this revision. */
    void modRevision(long revision) {
        bindings.forEach(page -> page.modRevision(revision));
        chunks.forEach(page -> page.modRevision(revision));
    }
}
