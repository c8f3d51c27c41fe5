package org.spruceridge.persistence;

import java.util.LinkedHashMap;
import java.util.Map;
import org.spruceridge.cluster.Binding;

/** The writes waiting for a transaction, oldest first, with at most one write per binding. */
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

    /** Adds a release or a completion. Does not replace a completion that is already pending. */
    void addRelease(Binding binding, WriteKind kind) {
        writes.merge(binding, kind, (waiting, added) -> waiting == WriteKind.COMPLETE ? waiting : added);
    }

    /** Removes the pending bind of this binding. Returns false if there is none. */
    boolean removeBind(Binding binding) {
        return writes.remove(binding, WriteKind.BIND);
    }

    void remove(Binding binding) {
        writes.remove(binding);
    }

    /**
     * Inserts earlier writes ahead of the pending writes. If a binding already has a pending write, the pending write
     * replaces the earlier one.
     */
    void addFirst(Map<Binding, WriteKind> earlier) {
        Map<Binding, WriteKind> waitingWrites = new LinkedHashMap<>(writes);
        writes.clear();
        writes.putAll(earlier);
        writes.putAll(waitingWrites);
    }

    /**
     * Moves all writes for which the batch has room into the batch. Writes of services go first, because they are few
     * and each second of delay matters. The other writes follow, oldest first, so the oldest writes determine which
     * pages the transaction writes. If releases went first, a steady stream of releases would delay binds on other
     * pages for as long as the stream lasts.
     */
    void moveInto(WriteBatch batch) {
        writes.entrySet()
                .removeIf(write ->
                        write.getKey().job().spec().isService() && tryAdd(batch, write.getKey(), write.getValue()));
        writes.entrySet().removeIf(write -> tryAdd(batch, write.getKey(), write.getValue()));
    }

    private static boolean tryAdd(WriteBatch batch, Binding binding, WriteKind kind) {
        return kind == WriteKind.BIND ? batch.tryBind(binding) : batch.tryRelease(binding, kind);
    }
}
