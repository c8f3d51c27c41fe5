package org.spruceridge.persistence;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.spruceridge.cluster.Job;
import org.spruceridge.record.JobRecord;
import org.spruceridge.record.StateKeys;
import org.spruceridge.state.Transaction;

/**
 * The jobs that one transaction records as done. The transaction replaces their records and deletes their open entries.
 */
final class CompletedJobs {
    /** One operation replaces the job record and one deletes the open entry. */
    static final int OPERATIONS_PER_JOB = 2;
    /**
     * The maximum total size of the records of completed jobs in one transaction, in addition to the size of its pages.
     */
    private static final int MAX_TOTAL_RECORD_BYTES = 10 << 10;

    private final Map<Job, JsonNode> records = new LinkedHashMap<>();
    private int bytes;

    static JsonNode doneRecord(Job job, int valueBytes) {
        return new JobRecord(job.spec(), job.submittedMs(), JobRecord.Stage.DONE, 0).write(valueBytes);
    }

    boolean contains(Job job) {
        return records.containsKey(job);
    }

    Set<Job> jobs() {
        return records.keySet();
    }

    int operationCount() {
        return OPERATIONS_PER_JOB * records.size();
    }

    boolean hasRoomFor(int recordBytes) {
        return bytes + recordBytes <= MAX_TOTAL_RECORD_BYTES;
    }

    void add(Job job, JsonNode record, int recordBytes) {
        records.put(job, record);
        bytes += recordBytes;
    }

    void addTo(Transaction.Builder transaction) {
        records.forEach((job, record) -> {
            transaction.put(StateKeys.job(job.id()), job.modRevision(), record);
            transaction.delete(StateKeys.openJob(job.id()), job.modRevision());
        });
    }
}
