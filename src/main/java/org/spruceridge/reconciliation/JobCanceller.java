package org.spruceridge.reconciliation;

import java.util.List;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spruceridge.cluster.Binding;
import org.spruceridge.cluster.Job;
import org.spruceridge.cluster.Machine;
import org.spruceridge.net.Durations;
import org.spruceridge.net.Loop;
import org.spruceridge.persistence.RecordWriter;
import org.spruceridge.term.LeaderContext;

/** Marks jobs as cancelled, withdraws their proposed bindings, and has their running tasks stopped. */
final class JobCanceller {
    private static final Logger LOG = LoggerFactory.getLogger(JobCanceller.class);

    private final Loop loop;
    private final long term;
    private final RecordWriter recordWriter;
    private final CancellationView view;
    private final Consumer<Job> onJobCancelled;
    private final Consumer<Machine> onCommandsDue;
    private final Runnable onJobsChanged;

    JobCanceller(
            LeaderContext context,
            RecordWriter recordWriter,
            CancellationView view,
            Consumer<Job> onJobCancelled,
            Consumer<Machine> onCommandsDue,
            Runnable onJobsChanged) {
        this.loop = context.loop();
        this.term = context.term().term();
        this.recordWriter = recordWriter;
        this.view = view;
        this.onJobCancelled = onJobCancelled;
        this.onCommandsDue = onCommandsDue;
        this.onJobsChanged = onJobsChanged;
    }

    /** Cancels the job. Does nothing if the job is already cancelled. */
    void cancel(Job job, CancellationSource source) {
        if (job.isCancelled()) {
            return;
        }
        job.cancel(view.completeUpTo(), loop.nanos());
        recordWriter.discardCancelledJob(job);
        onJobCancelled.accept(job);
        List<Machine> machines =
                job.bindings().stream().map(Binding::machine).distinct().toList();
        log(job, source, machines.size());
        machines.forEach(onCommandsDue);
        onJobsChanged.run();
    }

    /**
     * Logs at info level only if tasks of the job are bound. {@code ageS} is an upper bound on the time since the user
     * received the confirmation of the cancellation.
     */
    private void log(Job job, CancellationSource source, int machineCount) {
        if (machineCount == 0) {
            LOG.debug("job cancelled term={} job={} source={} taskCount=0", term, job.id(), source);
            return;
        }
        LOG.info(
                "job cancelled term={} job={} source={} ageS={} taskCount={} machineCount={}",
                term,
                job.id(),
                source,
                Durations.secondsSince(job.cancelledAt(), loop.nanos()),
                job.bindings().size(),
                machineCount);
    }
}
