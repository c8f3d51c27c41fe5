package org.spruceridge.persistence;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.spruceridge.persistence.PageIndex.Page;

/**
 * Moves items from an oversized page to other pages until the page fits its capacity or one transaction cannot write
 * more pages.
 */
final class PageSplitter {
    private final int maxPages;
    private final List<Runnable> rollbackActions;

    /**
     * {@code maxPages} is the maximum number of pages that one transaction can write. For each move, the splitter
     * appends an action to {@code rollbackActions} that reverts the move.
     */
    PageSplitter(int maxPages, List<Runnable> rollbackActions) {
        this.maxPages = maxPages;
        this.rollbackActions = rollbackActions;
    }

    /** Splits the page {@code from} and adds each changed page to {@code writtenPages}. */
    <T> void split(PageIndex<T> index, Page<T> from, Set<Page<T>> writtenPages) {
        Set<Page<T>> targets = new LinkedHashSet<>();
        writtenPages.add(from);
        for (T item : List.copyOf(from.items())) {
            if (!index.exceedsCapacity(from)) {
                return;
            }
            Optional<Page<T>> existingTarget = index.firstPageWithRoom(item, targets);
            if (existingTarget.isEmpty() && writtenPages.size() >= maxPages) {
                return;
            }
            Page<T> to = existingTarget.isPresent() ? existingTarget.get() : index.pageWithRoomFor(item, targets);
            if (from.items().size() == 1) {
                return;
            }
            targets.add(to);
            writtenPages.add(to);
            index.assign(item, to);
            rollbackActions.add(() -> index.assign(item, from));
        }
    }
}
