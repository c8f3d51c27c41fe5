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
 * Maps items to pages: a page is one record that holds many items, and its mod revision stands for all of them.
 */
public final class PageIndex<T> {
    private final String prefix;
    private final int capacity;
    private final ToIntFunction<Collection<T>> bytes;
    private final Map<T, Page<T>> pageByItem = new HashMap<>();
    private final List<Page<T>> pages = new ArrayList<>();
    private final Map<Page<T>, Integer> sizes = new HashMap<>();
    private final Set<Page<T>> oversized = new LinkedHashSet<>();
    private int lastNumber;

    /** One record. */
    public static final class Page<T> {
        private final String key;
        private final Set<T> items = new LinkedHashSet<>();
        /** Kept, so that a lookup on the hot path allocates nothing. */
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

        /** 0 while it has never been written. */
        long modRevision() {
            return modRevision;
        }

        void modRevision(long revision) {
            modRevision = revision;
        }
    }

    /** {@code bytes} tells the most that the content of a page takes. */
    PageIndex(String prefix, int capacity, ToIntFunction<Collection<T>> bytes) {
        this.prefix = prefix;
        this.capacity = capacity;
        this.bytes = bytes;
    }

    /** Takes over a page that is on record. */
    public Page<T> restorePage(String key, long modRevision) {
        Page<T> page = new Page<>(key, modRevision);
        pages.add(page);
        lastNumber = Math.max(lastNumber, Integer.parseInt(key.substring(prefix.length())));
        return page;
    }

    int pageCount() {
        return pages.size();
    }

    /** The page on which the item is kept. */
    Optional<Page<T>> pageOf(T item) {
        Page<T> page = pageByItem.get(item);
        return page == null ? Optional.empty() : page.asOptional;
    }

    /** Puts an item on a page, and takes it off the one that it was on. */
    public void assign(T item, Page<T> page) {
        if (pageByItem.get(item) == page) {
            return;
        }
        remove(item);
        pageByItem.put(item, page);
        page.items.add(item);
        sizes.remove(page);
    }

    /** The item needs no record any more; it vanishes from its page with the page's next write. */
    void remove(T item) {
        Page<T> page = pageByItem.remove(item);
        if (page != null) {
            page.items.remove(item);
            sizes.remove(page);
        }
    }

    /**
     * What items take has changed: pages are measured anew. Between two calls each is measured once, however many items
     * look for room: measured for each of thousands of bindings, in a burst it took more than the machine gives.
     */
    void invalidateSizes() {
        sizes.clear();
    }

    private int bytes(Page<T> page) {
        return sizes.computeIfAbsent(page, p -> bytes.applyAsInt(p.items));
    }

    boolean isOverfull(Page<T> page) {
        return bytes(page) > capacity;
    }

    /** Which item is on which page. */
    Map<T, Page<T>> pagesByItem() {
        return Map.copyOf(pageByItem);
    }

    /** Finds the pages that hold more than may be written, and that can be split. */
    void findOversized() {
        invalidateSizes();
        pages.stream().filter(this::canAndMustBeSplit).forEach(oversized::add);
    }

    private boolean canAndMustBeSplit(Page<T> page) {
        return page.items.size() > 1 && isOverfull(page);
    }

    boolean isOversized(Page<T> page) {
        return oversized.contains(page);
    }

    /** A page that has to be split before anything else is written on it. */
    Optional<Page<T>> firstOversized() {
        oversized.removeIf(page -> !canAndMustBeSplit(page));
        return oversized.isEmpty() ? Optional.empty() : oversized.iterator().next().asOptional;
    }

    /** The first of some pages that has room for the item. */
    Optional<Page<T>> firstPageWithRoom(T item, Iterable<Page<T>> among) {
        int most = capacity - bytes.applyAsInt(List.of(item));
        for (Page<T> page : among) {
            if (page != pageByItem.get(item) && bytes(page) <= most) {
                return page.asOptional;
            }
        }
        return Optional.empty();
    }

    /** A page, other than its own, that has room for the item: a preferred one, else the first that fits or a new one. */
    Page<T> pageWithRoomFor(T item, Collection<Page<T>> preferred) {
        Optional<Page<T>> found = firstPageWithRoom(item, Iterables.concat(preferred, pages));
        if (found.isPresent()) {
            return found.get();
        }
        Page<T> page = new Page<>(prefix + (++lastNumber), 0);
        pages.add(page);
        return page;
    }
}
