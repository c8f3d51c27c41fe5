package org.spruceridge.persistence;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.spruceridge.persistence.PageIndex.Page;

/** Moves items off an oversized page, as many as one transaction can write. */
final class PageSplitter {
    private final int maxPages;
    private final List<Runnable> rollback;

    /** Appends to {@code rollback} what takes each move back. */
    PageSplitter(int maxPages, List<Runnable> rollback) {
        this.maxPages = maxPages;
        this.rollback = rollback;
    }

    /** Adds the pages that change to {@code written}. */
    <T> void split(PageIndex<T> index, Page<T> from, Set<Page<T>> written) {
        Set<Page<T>> targets = new LinkedHashSet<>();
        written.add(from);
        for (T item : List.copyOf(from.items())) {
            if (!index.isOverfull(from)) {
                return;
            }
            Optional<Page<T>> found = index.firstPageWithRoom(item, targets);
            if (found.isEmpty() && written.size() >= maxPages) {
                return;
            }
            Page<T> to = found.isPresent() ? found.get() : index.pageWithRoomFor(item, targets);
            if (from.items().size() == 1) {
                return;
            }
            targets.add(to);
            written.add(to);
            index.assign(item, to);
            rollback.add(() -> index.assign(item, from));
        }
    }
}
