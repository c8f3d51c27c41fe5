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
 * Submits jobs. Submission is idempotent: once a job id has been accepted, every further submission with that id
 * returns the state of the existing job, regardless of the body. Before this class rejects a submission with a readable
 * id, it therefore checks that the job does not exist.
 */
final class JobSubmission {
    private final JobsEndpoint.Dependencies dependencies;
    private final AdmissionControl admissionControl;
    private final int valueBytes;
    private final JobLookup lookup;
    private final JobTransactions transactions;

    JobSubmission(JobsEndpoint.Dependencies dependencies, JobLookup lookup, JobTransactions transactions) {
        this.dependencies = dependencies;
        this.admissionControl = new AdmissionControl(dependencies.settings().teams());
        this.valueBytes = dependencies.settings().state().valueBytes();
        this.lookup = lookup;
        this.transactions = transactions;
    }

    void submit(byte[] body, Consumer<Response> onResponse) {
        JsonNode json;
        try {
            json = Json.strictObject(body);
        } catch (BadMessageException e) {
            onResponse.accept(Response.error(400, e.getMessage()));
            return;
        }
        JobSpec spec;
        try {
            spec = JobSpecMessage.read(json);
        } catch (BadMessageException e) {
            Response rejection = Response.error(400, e.getMessage());
            JobSpecMessage.idOf(json)
                    .ifPresentOrElse(
                            id -> lookup.lookUp(id, rejection, onResponse), () -> onResponse.accept(rejection));
            return;
        }
        admit(spec, onResponse);
    }

    private void admit(JobSpec spec, Consumer<Response> onResponse) {
        Optional<ImmutableMap<String, MachineType>> types =
                dependencies.machineTypes().get();
        if (types.isEmpty()) {
            lookup.lookUp(spec.id(), JobResponses.retryLater("machine types not known yet"), onResponse);
            return;
        }
        Optional<String> rejectionReason = admissionControl.rejectionReason(spec, types.get());
        if (rejectionReason.isPresent()) {
            lookup.lookUp(spec.id(), Response.error(422, rejectionReason.get()), onResponse);
            return;
        }
        JobSpec specWithKnownTypes = AdmissionControl.withKnownTypes(spec, types.get());
        if (spec.isService()) {
            storeServiceIfSupported(specWithKnownTypes, onResponse);
        } else {
            storeJob(specWithKnownTypes, onResponse);
        }
    }

    /**
     * Stores a service if the cluster supports services. Nodes of an earlier version cannot read the record of a
     * service. While such a node might be running, the submission is rejected and the user is asked to retry.
     */
    private void storeServiceIfSupported(JobSpec spec, Consumer<Response> onResponse) {
        if (areServicesSupported()) {
            storeJob(spec, onResponse);
            return;
        }
        dependencies.featureLevel().read(Priority.SUBMISSIONS, level -> {
            if (areServicesSupported()) {
                storeJob(spec, onResponse);
            } else {
                lookup.lookUp(spec.id(), JobResponses.retryLater("the cluster is being upgraded"), onResponse);
            }
        });
    }

    private boolean areServicesSupported() {
        return dependencies.featureLevel().highestKnown().includes(FeatureLevel.SERVICES);
    }

    private void storeJob(JobSpec spec, Consumer<Response> onResponse) {
        JobRecord record = JobRecord.open(spec, dependencies.loop().wallMillis());
        if (!record.fits(valueBytes)) {
            lookup.lookUp(spec.id(), JobResponses.jobTooLarge(), onResponse);
            return;
        }
        Transaction transaction = Transaction.builder()
                .put(StateKeys.job(spec.id()), 0, record.write())
                .put(StateKeys.openJob(spec.id()), 0, record.write())
                .build();
        transactions.commit(transaction, transactions.newDeadline(), onResponse, result -> {
            if (result.isCommitted()) {
                onResponse.accept(JobResponses.accepted(spec.id()));
            } else {
                lookup.lookUp(spec.id(), JobResponses.stateUnavailable(), onResponse);
            }
        });
    }
}
