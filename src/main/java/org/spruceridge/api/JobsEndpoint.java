package org.spruceridge.api;

import com.google.common.collect.ImmutableMap;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import org.spruceridge.cluster.MachineType;
import org.spruceridge.config.Settings;
import org.spruceridge.net.Loop;
import org.spruceridge.net.RateLimitedWarnings;
import org.spruceridge.net.Response;
import org.spruceridge.peer.PeerHeartbeat.Progress;
import org.spruceridge.record.JobSpecMessage;
import org.spruceridge.state.StateClient;
import org.spruceridge.upgrade.ClusterFeatureLevel;

/**
 * The users' requests about jobs, which any node serves. Each request is decided by the job's record in the state service,
 * so that it does not matter which node receives it.
 */
public final class JobsEndpoint {
    private final JobSubmission submission;
    private final JobLookup lookup;
    private final JobCancellation cancellation;

    /**
     * What the requests need from the node.
     *
     * @param machineTypes the machine types by name, empty until they are known
     * @param progress how many tasks of the job with this id are done and running
     * @param cancellations where confirmed cancellations are noted
     */
    public record Dependencies(
            Loop loop,
            StateClient state,
            ClusterFeatureLevel level,
            Settings settings,
            Supplier<Optional<ImmutableMap<String, MachineType>>> machineTypes,
            Function<String, Progress> progress,
            RateLimitedWarnings warnings,
            RecentCancellations cancellations) {}

    /** Sends nothing before the first request. */
    public JobsEndpoint(Dependencies dependencies) {
        JobTransactions transactions = new JobTransactions(dependencies.loop(), dependencies.state());
        this.lookup = new JobLookup(dependencies.state(), dependencies.progress(), dependencies.warnings());
        this.submission = new JobSubmission(dependencies, lookup, transactions);
        this.cancellation = new JobCancellation(dependencies, lookup, transactions);
    }

    /** POST /api/jobs. */
    public void submit(byte[] body, Consumer<Response> answer) {
        submission.submit(body, answer);
    }

    /** GET /api/jobs/{id}. */
    public void poll(String id, Consumer<Response> answer) {
        if (JobSpecMessage.isId(id)) {
            lookup.lookUp(id, JobResponses.unknownJob(), answer);
        } else {
            answer.accept(JobResponses.unknownJob());
        }
    }

    /** POST /api/jobs/{id}/abort. */
    public void abort(String id, Consumer<Response> answer) {
        if (JobSpecMessage.isId(id)) {
            cancellation.cancel(id, answer);
        } else {
            answer.accept(JobResponses.unknownJob());
        }
    }
}
