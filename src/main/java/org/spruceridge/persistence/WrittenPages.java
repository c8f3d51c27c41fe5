package org.spruceridge.persistence;

import java.util.LinkedHashSet;
import java.util.Set;
import org.spruceridge.cluster.Machine;
import org.spruceridge.persistence.PageIndex.Page;
import org.spruceridge.persistence.RecordPages.TaskChunk;

/** The pages written by one transaction, in insertion order. */
final class WrittenPages {
    private final Set<Page<Machine>> bindings = new LinkedHashSet<>();
    private final Set<Page<TaskChunk>> finishedTasks = new LinkedHashSet<>();

    /** The pages of bindings, as a mutable set. */
    Set<Page<Machine>> bindings() {
        return bindings;
    }

    /** The pages of finished tasks, as a mutable set. */
    Set<Page<TaskChunk>> finishedTasks() {
        return finishedTasks;
    }

    int count() {
        return bindings.size() + finishedTasks.size();
    }

    /** The key of one of the pages; there must be at least one page. */
    String verificationKey() {
        return bindings.isEmpty()
                ? finishedTasks.iterator().next().key()
                : bindings.iterator().next().key();
    }

    /** Sets the mod revision of all pages to the revision at which the transaction was committed. */
    void updateModRevision(long revision) {
        bindings.forEach(page -> page.updateModRevision(revision));
        finishedTasks.forEach(page -> page.updateModRevision(revision));
    }
}
