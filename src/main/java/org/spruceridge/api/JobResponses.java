package org.spruceridge.api;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.spruceridge.net.Json;
import org.spruceridge.net.Response;
import org.spruceridge.progress.Progress;
import org.spruceridge.record.JobRecord;

/** Builds the responses of the user API. */
final class JobResponses {
    private static final int RETRY_AFTER_S = 1;

    private JobResponses() {}

    static Response accepted(String id) {
        return Response.of(201, summary(id, "pending"));
    }

    static Response open(String id, Progress progress) {
        return Response.of(
                200,
                summary(id, progress.running() > 0 ? "running" : "pending")
                        .put("done", progress.done())
                        .put("running", progress.running()));
    }

    /** The response to a query for an ended job. All tasks count as done if the job is done, and none otherwise. */
    static Response ended(String id, JobRecord.Stage stage, int taskCount) {
        return Response.of(
                200,
                summary(id, stageName(stage))
                        .put("done", stage == JobRecord.Stage.DONE ? taskCount : 0)
                        .put("running", 0));
    }

    /** The response to a cancellation. If the job completed before the cancellation, its stage is {@code done}. */
    static Response cancellationResult(String id, JobRecord.Stage stage) {
        return Response.of(200, summary(id, stageName(stage)));
    }

    static Response stateUnavailable() {
        return retryLater("the state service does not answer now");
    }

    static Response progressUnknown() {
        return retryLater("the progress of the job is not known now");
    }

    static Response retryLater(String reason) {
        return Response.unavailable(RETRY_AFTER_S, reason);
    }

    static Response jobTooLarge() {
        return Response.error(400, "the job is too large to store");
    }

    static Response unknownJob() {
        return Response.error(404, "no such job");
    }

    static Response unreadableRecord() {
        return Response.error(500, "unreadable record");
    }

    private static ObjectNode summary(String id, String stage) {
        return Json.object().put("nameId", id).put("stage", stage);
    }

    private static String stageName(JobRecord.Stage stage) {
        return stage == JobRecord.Stage.DONE ? "done" : "cancelled";
    }
}
