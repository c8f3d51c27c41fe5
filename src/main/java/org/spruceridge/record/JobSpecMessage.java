package org.spruceridge.record;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.regex.Pattern;
import org.spruceridge.cluster.JobKind;
import org.spruceridge.cluster.JobPriority;
import org.spruceridge.cluster.JobSpec;
import org.spruceridge.cluster.Resources;
import org.spruceridge.net.BadMessageException;
import org.spruceridge.net.Json;

/** The JSON format of a job spec, used in submissions by users and in stored job records. */
public final class JobSpecMessage {
    private static final Pattern ID = Pattern.compile("j-[0-9]{1,18}");
    private static final int MAX_TASKS = 100_000;
    private static final int MAX_NAME_LENGTH = 200;
    private static final String ARRAY = "sweep";
    private static final String SERVICE = "standing";

    private JobSpecMessage() {}

    /** True if the text is a valid job id: {@code j-} and 1 to 18 digits. */
    public static boolean isId(String text) {
        return ID.matcher(text).matches();
    }

    /** Returns the job id in a body; empty if the id is missing or invalid. The other fields are not validated. */
    public static Optional<String> idOf(JsonNode body) {
        JsonNode id = body.path("nameId");
        return id.isTextual() && isId(id.textValue()) ? Optional.of(id.textValue()) : Optional.empty();
    }

    /** Reads and validates a submission; a {@link BadMessageException} names the invalid field. */
    public static JobSpec read(JsonNode body) throws BadMessageException {
        String id = Json.text(body, "nameId");
        if (!isId(id)) {
            throw new BadMessageException(
                    "nameId must be j- followed by 1 to 18 digits, but is " + BadMessageException.describe(id));
        }
        JobKind kind = parseKind(Json.text(body, "shape"));
        long tasks = Json.nonNegativeLong(body, "parts");
        if (tasks < 1 || tasks > MAX_TASKS) {
            throw new BadMessageException("parts must be 1 to " + MAX_TASKS + ", but is " + tasks);
        }
        OptionalDouble deadline =
                body.hasNonNull("dueS") ? OptionalDouble.of(requirePositive(body, "dueS")) : OptionalDouble.empty();
        String zone = body.hasNonNull("grove") ? requireName(body, "grove") : null;
        return new JobSpec(
                id,
                requireName(body, "lot"),
                requireName(body, "crew"),
                kind,
                priority(Json.text(body, "rank")),
                (int) tasks,
                new Resources(
                        requirePositive(body, "cpus"),
                        requireNonNegative(body, "accelerators"),
                        requirePositive(body, "memGb")),
                readAllowedMachineTypes(body),
                Optional.ofNullable(zone),
                Json.bool(body, "samePlace"),
                Json.bool(body, "scatter"),
                Json.bool(body, "windfall"),
                requireName(body, "bundle"),
                requireNonNegative(body, "pullGb"),
                kind == JobKind.SERVICE ? requireZero(body, "expectS") : requirePositive(body, "expectS"),
                requireNonNegative(body, "markEveryS"),
                requireNonNegative(body, "markS"),
                deadline);
    }

    /** Returns the job spec as JSON, in the format of a submission. */
    public static ObjectNode write(JobSpec spec) {
        ObjectNode out = Json.object()
                .put("nameId", spec.id())
                .put("lot", spec.jobClass())
                .put("crew", spec.team())
                .put("shape", spec.isService() ? SERVICE : ARRAY)
                .put("rank", priority(spec.priority()))
                .put("parts", spec.taskCount())
                .put("cpus", spec.taskResources().cpus())
                .put("accelerators", spec.taskResources().gpus())
                .put("memGb", spec.taskResources().memGb())
                .put("bundle", spec.image())
                .put("pullGb", spec.imageGb())
                .put("samePlace", spec.oneZone())
                .put("scatter", spec.spread())
                .put("windfall", spec.spot())
                .put("expectS", spec.estimateS())
                .put("markEveryS", spec.checkpointIntervalS())
                .put("markS", spec.checkpointDurationS());
        spec.allowedMachineTypes().ifPresent(types -> types.forEach(out.putArray("builds")::add));
        spec.zone().ifPresent(zone -> out.put("grove", zone));
        spec.deadlineS().ifPresent(due -> out.put("dueS", due));
        return out;
    }

    private static Optional<ImmutableSet<String>> readAllowedMachineTypes(JsonNode body) throws BadMessageException {
        if (!body.hasNonNull("builds")) {
            return Optional.empty();
        }
        ImmutableSet.Builder<String> out = ImmutableSet.builder();
        for (JsonNode item : Json.list(body, "builds")) {
            if (!item.isTextual()) {
                throw new BadMessageException("builds contains a value that is not a string");
            }
            out.add(item.textValue());
        }
        return Optional.of(out.build());
    }

    private static String requireName(JsonNode body, String field) throws BadMessageException {
        String text = Json.text(body, field);
        if (text.isEmpty() || text.length() > MAX_NAME_LENGTH) {
            throw new BadMessageException(
                    field + " must have 1 to " + MAX_NAME_LENGTH + " characters, but has " + text.length());
        }
        return text;
    }

    private static JobKind parseKind(String shape) throws BadMessageException {
        return switch (shape) {
            case ARRAY -> JobKind.ARRAY;
            case SERVICE -> JobKind.SERVICE;
            default -> throw new BadMessageException(
                    "shape must be sweep or standing, but is " + BadMessageException.describe(shape));
        };
    }

    private static double requireZero(JsonNode body, String field) throws BadMessageException {
        double value = Json.number(body, field);
        if (value != 0) {
            throw new BadMessageException(field + " must be 0 if shape is standing, but is " + value);
        }
        return 0;
    }

    private static double requirePositive(JsonNode body, String field) throws BadMessageException {
        double value = Json.number(body, field);
        if (value <= 0) {
            throw new BadMessageException(field + " must be above 0, but is " + value);
        }
        return value;
    }

    private static double requireNonNegative(JsonNode body, String field) throws BadMessageException {
        double value = Json.number(body, field);
        if (value < 0) {
            throw new BadMessageException(field + " must not be below 0, but is " + value);
        }
        return value;
    }

    private static JobPriority priority(String text) throws BadMessageException {
        return switch (text) {
            case "production" -> JobPriority.PRODUCTION;
            case "high" -> JobPriority.HIGH;
            case "normal" -> JobPriority.NORMAL;
            case "best_effort" -> JobPriority.LOW;
            default -> throw new BadMessageException("rank must be production, high, normal or best_effort, but is "
                    + BadMessageException.describe(text));
        };
    }

    private static String priority(JobPriority priority) {
        return switch (priority) {
            case PRODUCTION -> "production";
            case HIGH -> "high";
            case NORMAL -> "normal";
            case LOW -> "best_effort";
        };
    }
}
