package org.spruceridge.persistence;

import com.google.common.collect.Iterables;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToIntFunction;

/**
 * Maps items to pages. A page is a record that holds many items. All items of a page share the mod revision of the
 * record.
 */
public final class PageIndex<T> {
    private final String prefix;
    private final int capacity;
    private final ToIntFunction<Collection<T>> measureBytes;
    private final Map<T, Page<T>> pageByItem = new HashMap<>();
    private final List<Page<T>> pages = new ArrayList<>();
    private final Map<Page<T>, Integer> sizeByPage = new HashMap<>();
    private final Set<Page<T>> oversizedPages = new LinkedHashSet<>();
    private int lastPageNumber;

    /** A record that holds several items. */
    public static final class Page<T> {
        private final String key;
        private final Set<T> items = new LinkedHashSet<>();
        /** Cached to avoid an allocation in each lookup on the hot path. */
        private final Optional<Page<T>> asOptional = Optional.of(this);

        private long modRevision;

        private Page(String key, long modRevision) {
            this.key = key;
            this.modRevision = modRevision;
        }

        String key() {
            return key;
        }

        Collection<T> items() {
            return items;
        }

        /** The revision of the last write of this page; 0 if the page has never been written. */
        long modRevision() {
            return modRevision;
        }

        void updateModRevision(long revision) {
            modRevision = revision;
        }
    }

    /**
     * {@code measureBytes} returns the maximum encoded size of a collection of items. {@code capacity} is the maximum
     * size of a page in bytes.
     */
    PageIndex(String prefix, int capacity, ToIntFunction<Collection<T>> measureBytes) {
        this.prefix = prefix;
        this.capacity = capacity;
        this.measureBytes = measureBytes;
    }

    /** Adds a page that is already stored in the state service. */
    public Page<T> restorePage(String key, long modRevision) {
        Page<T> page = new Page<>(key, modRevision);
        pages.add(page);
        lastPageNumber = Math.max(lastPageNumber, Integer.parseInt(key.substring(prefix.length())));
        return page;
    }

    int pageCount() {
        return pages.size();
    }

    /** The page that holds the item; empty if the item is on no page. */
    Optional<Page<T>> pageOf(T item) {
        Page<T> page = pageByItem.get(item);
        return page == null ? Optional.empty() : page.asOptional;
    }

    /** Assigns an item to a page and removes it from its previous page. */
    public void assign(T item, Page<T> page) {
        if (pageByItem.get(item) == page) {
            return;
        }
        remove(item);
        pageByItem.put(item, page);
        page.items.add(item);
        sizeByPage.remove(page);
    }

    /** Removes an item that no longer needs a record. The next write of its page omits the item. */
    void remove(T item) {
        Page<T> page = pageByItem.remove(item);
        if (page != null) {
            page.items.remove(item);
            sizeByPage.remove(page);
        }
    }

    /**
     * Discards the cached page sizes; called after the sizes of items have changed. Until the next call, a page is
     * measured again only if its items change, however many items look for a page with room. Measuring the pages again
     * for each of thousands of bindings used more CPU time during bursts than the machine has.
     */
    void invalidateSizes() {
        sizeByPage.clear();
    }

    private int sizeBytes(Page<T> page) {
        return sizeByPage.computeIfAbsent(page, p -> measureBytes.applyAsInt(p.items));
    }

    boolean exceedsCapacity(Page<T> page) {
        return sizeBytes(page) > capacity;
    }

    /** Returns a copy of the mapping from items to pages. */
    Map<T, Page<T>> pagesByItem() {
        return Map.copyOf(pageByItem);
    }

    /** Marks the pages that exceed the capacity and can be split. */
    void markOversizedPages() {
        invalidateSizes();
        pages.stream().filter(this::needsSplit).forEach(oversizedPages::add);
    }

    private boolean needsSplit(Page<T> page) {
        return page.items.size() > 1 && exceedsCapacity(page);
    }

    boolean isOversized(Page<T> page) {
        return oversizedPages.contains(page);
    }

    /**
     * Returns the first marked page that must still be split before anything else is written to it; empty if there is
     * none.
     */
    Optional<Page<T>> firstOversizedPage() {
        oversizedPages.removeIf(page -> !needsSplit(page));
        return oversizedPages.isEmpty()
                ? Optional.empty()
                : oversizedPages.iterator().next().asOptional;
    }

    /** Returns the first candidate page with room for the item, except the page that already holds the item. */
    Optional<Page<T>> firstPageWithRoom(T item, Iterable<Page<T>> candidates) {
        int maxUsedBytes = capacity - measureBytes.applyAsInt(List.of(item));
        for (Page<T> page : candidates) {
            if (page != pageByItem.get(item) && sizeBytes(page) <= maxUsedBytes) {
                return page.asOptional;
            }
        }
        return Optional.empty();
    }

    /**
     * Returns a page with room for the item, except the page that already holds the item. Prefers the first of
     * {@code preferred} that has room, then the first of all pages that has room. Adds a new page if no page has room.
     */
    Page<T> pageWithRoomFor(T item, Collection<Page<T>> preferred) {
        Optional<Page<T>> existingPage = firstPageWithRoom(item, Iterables.concat(preferred, pages));
        if (existingPage.isPresent()) {
            return existingPage.get();
        }
        Page<T> page = new Page<>(prefix + (++lastPageNumber), 0);
        pages.add(page);
        return page;
    }
}
