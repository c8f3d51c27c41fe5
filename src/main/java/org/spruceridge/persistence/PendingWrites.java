package org.spruceridge.persistence;

import java.util.LinkedHashMap;
import java.util.Map;
import org.spruceridge.cluster.Binding;

/** The writes that wait for a transaction, oldest first, with one write for each binding. */
final class PendingWrites {
    private final Map<Binding, WriteKind> writes = new LinkedHashMap<>();

    int size() {
        return writes.size();
    }

    boolean isEmpty() {
        return writes.isEmpty();
    }

    boolean hasOnlyBinds() {
        return writes.values().stream().allMatch(kind -> kind == WriteKind.BIND);
    }

    void addBind(Binding binding) {
        writes.put(binding, WriteKind.BIND);
    }

    /** Adds a release or a completion; a completion that waits already is not replaced. */
    void addRelease(Binding binding, WriteKind kind) {
        writes.merge(binding, kind, (waiting, added) -> waiting == WriteKind.COMPLETE ? waiting : added);
    }

    /** Removes the binding if it waits to be added; false if it does not. */
    boolean removeBind(Binding binding) {
        return writes.remove(binding, WriteKind.BIND);
    }

    void remove(Binding binding) {
        writes.remove(binding);
    }

    /** Puts writes before those that wait. A write of a binding that waits already replaces the earlier one. */
    void addFirst(Map<Binding, WriteKind> earlier) {
        Map<Binding, WriteKind> later = new LinkedHashMap<>(writes);
        writes.clear();
        writes.putAll(earlier);
        writes.putAll(later);
    }

    /**
     * Moves what has room into the batch. Services come first: they are few, and each second counts. Then the oldest
     * writes choose the pages: if releases came first, a stream of them would delay binds on other pages for as long as it
     * lasts.
     */
    void moveInto(WriteBatch batch) {
        writes.entrySet()
                .removeIf(write ->
                        write.getKey().job().spec().isService() && add(batch, write.getKey(), write.getValue()));
        writes.entrySet().removeIf(write -> add(batch, write.getKey(), write.getValue()));
    }

    private static boolean add(WriteBatch batch, Binding binding, WriteKind kind) {
        return kind == WriteKind.BIND ? batch.bind(binding) : batch.release(binding, kind);
    }
}
