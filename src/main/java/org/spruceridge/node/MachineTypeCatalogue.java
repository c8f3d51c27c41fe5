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
import org.spruceridge.state.StateClient;
import org.spruceridge.state.StateResult;
import org.spruceridge.state.Transaction;

/** What this node knows of the machine types: from the cloud, or, until that answers, from the record. */
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
        loadFromStore();
        fetchFromCloud();
    }

    void stop() {
        scope.close();
    }

    Optional<ImmutableMap<String, MachineType>> types() {
        return types;
    }

    private void fetchFromCloud() {
        cloud.catalogue(scope.guard(answer -> {
            if (answer.isPresent()) {
                update(answer.get());
                persist(new CatalogueRecord(answer.get()));
            }
            scope.after(answer.isPresent() ? REFRESH_INTERVAL_NANOS : RETRY_INTERVAL_NANOS, this::fetchFromCloud);
        }));
    }

    private void loadFromStore() {
        state.get(StateKeys.CATALOGUE, Priority.SCHEDULING, scope.guard(found -> {
            if (types.isPresent()) {
                return;
            }
            if (found.isOk()) {
                try {
                    update(CatalogueRecord.read(found.value().value()).types());
                    return;
                } catch (BadMessageException e) {
                    warnings.warn("unreadable catalogue record", e.getMessage());
                }
            }
            scope.after(RETRY_INTERVAL_NANOS, this::loadFromStore);
        }));
    }

    private void update(ImmutableMap<String, MachineType> now) {
        if (types.isEmpty()) {
            LOG.info("machine types known: {}", now.keySet());
        }
        types = Optional.of(now);
        onUpdate.accept(now);
    }

    /** Puts the types on record where they are not; should that fail, the next refresh tries again. */
    private void persist(CatalogueRecord now) {
        state.get(StateKeys.CATALOGUE, Priority.SCHEDULING, scope.guard(found -> {
            if (found.outcome() == StateResult.Outcome.UNAVAILABLE) {
                return;
            }
            try {
                if (found.isOk() && CatalogueRecord.read(found.value().value()).sameTypes(now)) {
                    return;
                }
            } catch (BadMessageException e) {
                warnings.warn("unreadable catalogue record", e.getMessage());
            }
            long modRevision = found.isOk() ? found.value().modRevision() : 0;
            Transaction txn = Transaction.builder()
                    .put(StateKeys.CATALOGUE, modRevision, now.write())
                    .build();
            state.commit(txn, Priority.SCHEDULING, result -> {});
        }));
    }
}
