package org.spruceridge.api;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableMap;
import java.util.Optional;
import java.util.function.Consumer;
import org.spruceridge.cluster.JobSpec;
import org.spruceridge.cluster.MachineType;
import org.spruceridge.net.BadMessageException;
import org.spruceridge.net.Json;
import org.spruceridge.net.RateLimiter.Priority;
import org.spruceridge.net.Response;
import org.spruceridge.record.JobRecord;
import org.spruceridge.record.JobSpecMessage;
import org.spruceridge.record.StateKeys;
import org.spruceridge.state.Transaction;
import org.spruceridge.upgrade.FeatureLevel;

/**
 * Submits jobs. A submission is idempotent: once a job id was accepted, every repetition is answered with the state of that
 * job, whatever it holds. So each refusal first looks whether the job exists.
 */
final class JobSubmission {
    private final JobsEndpoint.Dependencies dependencies;
    private final AdmissionControl admission;
    private final int valueBytes;
    private final JobLookup lookup;
    private final JobTransactions transactions;

    JobSubmission(JobsEndpoint.Dependencies dependencies, JobLookup lookup, JobTransactions transactions) {
        this.dependencies = dependencies;
        this.admission = new AdmissionControl(dependencies.settings().teams());
        this.valueBytes = dependencies.settings().state().valueBytes();
        this.lookup = lookup;
        this.transactions = transactions;
    }

    void submit(byte[] body, Consumer<Response> answer) {
        JsonNode json;
        try {
            json = Json.strictObject(body);
        } catch (BadMessageException e) {
            answer.accept(Response.error(400, e.getMessage()));
            return;
        }
        JobSpec spec;
        try {
            spec = JobSpecMessage.read(json);
        } catch (BadMessageException e) {
            Response refusal = Response.error(400, e.getMessage());
            JobSpecMessage.idOf(json)
                    .ifPresentOrElse(id -> lookup.lookUp(id, refusal, answer), () -> answer.accept(refusal));
            return;
        }
        admit(spec, answer);
    }

    private void admit(JobSpec spec, Consumer<Response> answer) {
        Optional<ImmutableMap<String, MachineType>> types =
                dependencies.machineTypes().get();
        if (types.isEmpty()) {
            lookup.lookUp(spec.id(), JobResponses.retryLater("machine types not known yet"), answer);
            return;
        }
        Optional<String> rejectionReason = admission.rejectionReason(spec, types.get());
        if (rejectionReason.isPresent()) {
            lookup.lookUp(spec.id(), Response.error(422, rejectionReason.get()), answer);
            return;
        }
        JobSpec trimmed = AdmissionControl.withKnownTypes(spec, types.get());
        if (spec.isService()) {
            storeServiceIfSupported(trimmed, answer);
        } else {
            store(trimmed, answer);
        }
    }

    /** Nodes of an earlier version could not read the record of a service, so it is refused while any may be running. */
    private void storeServiceIfSupported(JobSpec spec, Consumer<Response> answer) {
        if (servicesSupported()) {
            store(spec, answer);
            return;
        }
        dependencies.level().read(Priority.SUBMISSIONS, found -> {
            if (servicesSupported()) {
                store(spec, answer);
            } else {
                lookup.lookUp(spec.id(), JobResponses.retryLater("the cluster is being upgraded"), answer);
            }
        });
    }

    private boolean servicesSupported() {
        return dependencies.level().highestKnown().includes(FeatureLevel.SERVICES);
    }

    private void store(JobSpec spec, Consumer<Response> answer) {
        JobRecord record = JobRecord.open(spec, dependencies.loop().wallMillis());
        if (!record.fits(valueBytes)) {
            lookup.lookUp(spec.id(), JobResponses.jobTooLarge(), answer);
            return;
        }
        Transaction transaction = Transaction.builder()
                .put(StateKeys.job(spec.id()), 0, record.write())
                .put(StateKeys.openJob(spec.id()), 0, record.write())
                .build();
        transactions.commit(transaction, transactions.newDeadline(), answer, result -> {
            if (result.isCommitted()) {
                answer.accept(JobResponses.accepted(spec.id()));
            } else {
                lookup.lookUp(spec.id(), JobResponses.stateUnavailable(), answer);
            }
        });
    }
}
