package org.spruceridge.node;

import com.google.common.collect.ImmutableMap;
import java.util.Optional;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spruceridge.cloud.CloudClient;
import org.spruceridge.cluster.MachineType;
import org.spruceridge.net.BadMessageException;
import org.spruceridge.net.CancellationScope;
import org.spruceridge.net.Durations;
import org.spruceridge.net.Loop;
import org.spruceridge.net.RateLimitedWarnings;
import org.spruceridge.net.RateLimiter.Priority;
import org.spruceridge.record.CatalogueRecord;
import org.spruceridge.record.StateKeys;
import org.spruceridge.state.Entry;
import org.spruceridge.state.StateClient;
import org.spruceridge.state.StateResult;
import org.spruceridge.state.Transaction;

/**
 * The machine types that the cloud offers. This class periodically fetches the types from the cloud and stores them in
 * the state service. The stored types let a node that starts while the cloud is unavailable admit and place jobs.
 */
final class MachineTypeCatalogue {
    private static final Logger LOG = LoggerFactory.getLogger(MachineTypeCatalogue.class);
    private static final long RETRY_INTERVAL_NANOS = Durations.nanos(2);
    private static final long REFRESH_INTERVAL_NANOS = Durations.nanos(300);

    private final CancellationScope scope;
    private final CloudClient cloud;
    private final StateClient state;
    private final RateLimitedWarnings warnings;
    private final Consumer<ImmutableMap<String, MachineType>> onUpdate;
    private Optional<ImmutableMap<String, MachineType>> types = Optional.empty();

    MachineTypeCatalogue(
            Loop loop,
            CloudClient cloud,
            StateClient state,
            RateLimitedWarnings warnings,
            Consumer<ImmutableMap<String, MachineType>> onUpdate) {
        this.scope = new CancellationScope(loop);
        this.cloud = cloud;
        this.state = state;
        this.warnings = warnings;
        this.onUpdate = onUpdate;
    }

    void start() {
        loadFromStateService();
        fetchFromCloud();
    }

    void stop() {
        scope.close();
    }

    /** The machine types by name; empty until the first successful read from the cloud or the state service. */
    Optional<ImmutableMap<String, MachineType>> types() {
        return types;
    }

    private void fetchFromCloud() {
        cloud.fetchMachineTypes(scope.guard(fetchedTypes -> {
            if (fetchedTypes.isPresent()) {
                update(fetchedTypes.get());
                persist(new CatalogueRecord(fetchedTypes.get()));
            }
            scope.after(fetchedTypes.isPresent() ? REFRESH_INTERVAL_NANOS : RETRY_INTERVAL_NANOS, this::fetchFromCloud);
        }));
    }

    private void loadFromStateService() {
        state.get(StateKeys.CATALOGUE, Priority.SCHEDULING, scope.guard(entryResult -> {
            if (types.isPresent()) {
                return;
            }
            Optional<CatalogueRecord> stored = read(entryResult);
            if (stored.isPresent()) {
                update(stored.get().types());
            } else {
                scope.after(RETRY_INTERVAL_NANOS, this::loadFromStateService);
            }
        }));
    }

    private void update(ImmutableMap<String, MachineType> latest) {
        if (types.isEmpty()) {
            LOG.info("machine types loaded machineType={}", latest.keySet());
        }
        types = Optional.of(latest);
        onUpdate.accept(latest);
    }

    /** Stores the types unless the same types are already stored. The next refresh retries a failed write. */
    private void persist(CatalogueRecord latest) {
        state.get(StateKeys.CATALOGUE, Priority.SCHEDULING, scope.guard(entryResult -> {
            if (entryResult.outcome() == StateResult.Outcome.UNAVAILABLE) {
                return;
            }
            if (read(entryResult).filter(stored -> stored.sameTypes(latest)).isPresent()) {
                return;
            }
            long modRevision = entryResult.isOk() ? entryResult.value().modRevision() : 0;
            Transaction transaction = Transaction.builder()
                    .put(StateKeys.CATALOGUE, modRevision, latest.write())
                    .build();
            state.commit(transaction, Priority.SCHEDULING, result -> {});
        }));
    }

    /** Returns the stored record; empty if the record does not exist or cannot be read. */
    private Optional<CatalogueRecord> read(StateResult<Entry> entryResult) {
        if (!entryResult.isOk()) {
            return Optional.empty();
        }
        try {
            return Optional.of(CatalogueRecord.read(entryResult.value().value()));
        } catch (BadMessageException e) {
            warnings.warn("unreadable machine type catalogue", "reason=" + e.getMessage());
            return Optional.empty();
        }
    }
}
