package org.spruceridge.api;

import com.google.common.collect.ImmutableMap;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.spruceridge.cluster.MachineType;
import org.spruceridge.config.Settings;
import org.spruceridge.net.Loop;
import org.spruceridge.net.RateLimitedWarnings;
import org.spruceridge.net.Response;
import org.spruceridge.progress.ProgressFreshness;
import org.spruceridge.progress.ProgressSource;
import org.spruceridge.record.JobSpecMessage;
import org.spruceridge.state.StateClient;
import org.spruceridge.upgrade.ClusterFeatureLevel;

/**
 * Serves the user requests about jobs. Any node can serve them, because the job record in the state service determines
 * the result of each request.
 */
public final class JobsEndpoint {
    private final JobSubmission submission;
    private final JobLookup lookup;
    private final JobCancellation cancellation;

    /**
     * The parts of the node that the endpoint uses.
     *
     * @param machineTypes supplies the machine types by name, empty until they are known
     * @param progress finds the numbers of done and running tasks of an open job
     * @param freshness how old information about the progress of a job may be
     * @param cancellations the jobs whose cancellation this node announces to its peers
     */
    public record Dependencies(
            Loop loop,
            StateClient state,
            ClusterFeatureLevel featureLevel,
            Settings settings,
            Supplier<Optional<ImmutableMap<String, MachineType>>> machineTypes,
            ProgressSource progress,
            ProgressFreshness freshness,
            RateLimitedWarnings warnings,
            RecentCancellations cancellations) {}

    /** Creates the endpoint, which sends nothing to the state service before the first request. */
    public JobsEndpoint(Dependencies dependencies) {
        JobTransactions transactions = new JobTransactions(dependencies.loop(), dependencies.state());
        this.lookup = new JobLookup(dependencies);
        this.submission = new JobSubmission(dependencies, lookup, transactions);
        this.cancellation = new JobCancellation(dependencies, lookup, transactions);
    }

    /** Handles {@code POST /api/jobs}. */
    public void submit(byte[] body, Consumer<Response> onResponse) {
        submission.submit(body, onResponse);
    }

    /** Handles {@code GET /api/jobs/{id}}. */
    public void poll(String id, Consumer<Response> onResponse) {
        if (JobSpecMessage.isId(id)) {
            lookup.lookUp(id, JobResponses.unknownJob(), onResponse);
        } else {
            onResponse.accept(JobResponses.unknownJob());
        }
    }

    /** Handles {@code POST /api/jobs/{id}/abort}. */
    public void abort(String id, Consumer<Response> onResponse) {
        if (JobSpecMessage.isId(id)) {
            cancellation.cancel(id, onResponse);
        } else {
            onResponse.accept(JobResponses.unknownJob());
        }
    }
}
