package org.spruceridge.record;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableSet;
import java.nio.charset.StandardCharsets;
import java.util.EnumSet;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.spruceridge.cluster.JobKind;
import org.spruceridge.cluster.JobPriority;
import org.spruceridge.cluster.JobSpec;
import org.spruceridge.cluster.Resources;
import org.spruceridge.net.BadMessageException;
import org.spruceridge.net.Json;

/** The JSON format of a job spec: each field and each enum value is read and written under its wire name. */
final class JobSpecMessageTest {
    /** All fields in the order in which they are written. All fields except the flags have different values. */
    private static final String ALL_FIELDS_JSON =
            "{\"nameId\":\"j-000412\",\"lot\":\"nightly\",\"crew\":\"red\",\"shape\":\"sweep\",\"rank\":\"high\","
                    + "\"parts\":7,\"cpus\":2.0,\"accelerators\":3.0,\"memGb\":4.5,\"bundle\":\"img-1\","
                    + "\"pullGb\":1.5,\"samePlace\":false,\"scatter\":false,\"windfall\":false,\"expectS\":60.0,"
                    + "\"markEveryS\":20.0,\"markS\":5.0,\"builds\":[\"t4\",\"t8\"],\"grove\":\"a\",\"dueS\":90.0}";

    private static JobSpec specWithAllFields() {
        return spec(JobKind.ARRAY, JobPriority.HIGH, "", 60);
    }

    /** {@code trueFlag} is the wire name of the only boolean field that is true; an empty string if none is true. */
    private static JobSpec spec(JobKind kind, JobPriority priority, String trueFlag, double estimateS) {
        return new JobSpec(
                "j-000412",
                "nightly",
                "red",
                kind,
                priority,
                7,
                new Resources(2, 3, 4.5),
                Optional.of(ImmutableSet.of("t4", "t8")),
                Optional.of("a"),
                trueFlag.equals("samePlace"),
                trueFlag.equals("scatter"),
                trueFlag.equals("windfall"),
                "img-1",
                1.5,
                estimateS,
                20,
                5,
                OptionalDouble.of(90));
    }

    private static void assertRoundTrip(JobSpec spec, String text) throws BadMessageException {
        JsonNode body = Json.object(text.getBytes(StandardCharsets.UTF_8));
        assertEquals(spec, JobSpecMessage.read(body));
        assertEquals(text, new String(Json.bytes(JobSpecMessage.write(spec)), StandardCharsets.UTF_8));
    }

    @Test
    void jobWithAllFieldsRoundTripsUnderWireNames() throws BadMessageException {
        assertRoundTrip(specWithAllFields(), ALL_FIELDS_JSON);
    }

    @Test
    void absentOptionalFieldsAreOmittedAndReadAsEmpty() throws BadMessageException {
        JobSpec complete = specWithAllFields();
        JobSpec spec = new JobSpec(
                complete.id(),
                complete.jobClass(),
                complete.team(),
                complete.kind(),
                complete.priority(),
                complete.taskCount(),
                complete.taskResources(),
                Optional.empty(),
                Optional.empty(),
                complete.oneZone(),
                complete.spread(),
                complete.spot(),
                complete.image(),
                complete.imageGb(),
                complete.estimateS(),
                complete.checkpointIntervalS(),
                complete.checkpointDurationS(),
                OptionalDouble.empty());
        assertRoundTrip(spec, ALL_FIELDS_JSON.replace(",\"builds\":[\"t4\",\"t8\"],\"grove\":\"a\",\"dueS\":90.0", ""));
    }

    @ParameterizedTest
    @ValueSource(strings = {"samePlace", "scatter", "windfall"})
    void flagRoundTripsUnderWireName(String flag) throws BadMessageException {
        assertRoundTrip(
                spec(JobKind.ARRAY, JobPriority.HIGH, flag, 60),
                ALL_FIELDS_JSON.replace("\"" + flag + "\":false", "\"" + flag + "\":true"));
    }

    static Stream<Arguments> ranks() {
        return Stream.of(
                Arguments.of("production", JobPriority.PRODUCTION),
                Arguments.of("high", JobPriority.HIGH),
                Arguments.of("normal", JobPriority.NORMAL),
                Arguments.of("best_effort", JobPriority.LOW));
    }

    @ParameterizedTest
    @MethodSource("ranks")
    void rankRoundTripsUnderWireName(String rank, JobPriority priority) throws BadMessageException {
        assertRoundTrip(spec(JobKind.ARRAY, priority, "", 60), ALL_FIELDS_JSON.replace("\"high\"", "\"" + rank + "\""));
    }

    static Stream<Arguments> shapes() {
        return Stream.of(Arguments.of("sweep", JobKind.ARRAY, 60.0), Arguments.of("standing", JobKind.SERVICE, 0.0));
    }

    @ParameterizedTest
    @MethodSource("shapes")
    void shapeRoundTripsUnderWireName(String shape, JobKind kind, double estimateS) throws BadMessageException {
        String text = ALL_FIELDS_JSON
                .replace("\"sweep\"", "\"" + shape + "\"")
                .replace("\"expectS\":60.0", "\"expectS\":" + estimateS);
        assertRoundTrip(spec(kind, JobPriority.HIGH, "", estimateS), text);
    }

    @Test
    void roundTripTestsCoverEveryRankAndShape() {
        assertEquals(EnumSet.allOf(JobPriority.class), secondArguments(ranks()));
        assertEquals(EnumSet.allOf(JobKind.class), secondArguments(shapes()));
    }

    private static Set<Object> secondArguments(Stream<Arguments> rows) {
        return rows.map(row -> row.get()[1]).collect(Collectors.toSet());
    }

    @ParameterizedTest
    @CsvSource({
        "rank, low, 'rank must be production, high, normal or best_effort, but is low'",
        "shape, array, 'shape must be sweep or standing, but is array'"
    })
    void unknownValueIsRejectedNamingFieldAndAllowedValues(String field, String value, String message)
            throws BadMessageException {
        String text =
                ALL_FIELDS_JSON.replaceFirst("\"" + field + "\":\"[a-z]*\"", "\"" + field + "\":\"" + value + "\"");
        JsonNode body = Json.object(text.getBytes(StandardCharsets.UTF_8));
        assertEquals(
                message,
                assertThrows(BadMessageException.class, () -> JobSpecMessage.read(body))
                        .getMessage());
    }

    private static String rejection(String text) throws BadMessageException {
        JsonNode body = Json.object(text.getBytes(StandardCharsets.UTF_8));
        return assertThrows(BadMessageException.class, () -> JobSpecMessage.read(body))
                .getMessage();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = ';',
            value = {
                "\"j-000412\"; \"j-x\"; nameId must be j- followed by 1 to 18 digits, but is j-x",
                "\"j-000412\"; \"\"; "
                        + "nameId must be j- followed by 1 to 18 digits, but is a string of 0 characters",
                "\"j-000412\"; \"j-1\\n\"; "
                        + "nameId must be j- followed by 1 to 18 digits, but is a string of 4 characters",
                "\"parts\":7; \"parts\":0; parts must be 1 to 100000, but is 0",
                "\"parts\":7; \"parts\":100001; parts must be 1 to 100000, but is 100001",
                "\"parts\":7; \"parts\":-1; parts is not a non-negative integer",
                "\"nightly\"; \"\"; lot must have 1 to 200 characters, but has 0",
                "\"cpus\":2.0; \"cpus\":0; cpus must be above 0, but is 0.0",
                "\"dueS\":90.0; \"dueS\":-1.5; dueS must be above 0, but is -1.5",
                "\"pullGb\":1.5; \"pullGb\":-1; pullGb must not be below 0, but is -1.0",
                "\"sweep\"; \"standing\"; expectS must be 0 if shape is standing, but is 60.0",
                "[\"t4\",\"t8\"]; [\"t4\",8]; builds contains a value that is not a string",
                "[\"t4\",\"t8\"]; \"t4\"; builds is not an array"
            })
    void invalidValueIsRejectedWithFieldAndAllowedRange(String original, String replacement, String message)
            throws BadMessageException {
        assertEquals(message, rejection(ALL_FIELDS_JSON.replace(original, replacement)));
    }

    @Test
    void longValueIsNotRepeatedInMessage() throws BadMessageException {
        assertEquals(
                "lot must have 1 to 200 characters, but has 201",
                rejection(ALL_FIELDS_JSON.replace("\"nightly\"", "\"" + "x".repeat(201) + "\"")));
        assertEquals(
                "nameId must be j- followed by 1 to 18 digits, but is a string of 101 characters",
                rejection(ALL_FIELDS_JSON.replace("\"j-000412\"", "\"" + "x".repeat(101) + "\"")));
        assertEquals(
                "rank must be production, high, normal or best_effort, but is a string of 101 characters",
                rejection(ALL_FIELDS_JSON.replace("\"high\"", "\"" + "x".repeat(101) + "\"")));
        assertEquals(
                "shape must be sweep or standing, but is a string of 101 characters",
                rejection(ALL_FIELDS_JSON.replace("\"sweep\"", "\"" + "x".repeat(101) + "\"")));
        assertEquals(
                "shape must be sweep or standing, but is " + "x".repeat(100),
                rejection(ALL_FIELDS_JSON.replace("\"sweep\"", "\"" + "x".repeat(100) + "\"")));
    }

    @ParameterizedTest
    @ValueSource(strings = {"j-0", "j-000412", "j-123456789012345678"})
    void validJobIdIsAccepted(String id) {
        assertTrue(JobSpecMessage.isId(id));
        assertEquals(Optional.of(id), JobSpecMessage.idOf(Json.object().put("nameId", id)));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "j-", "j-1234567890123456789", "j-12a", "k-1", "J-1", "j1", "j-1/0"})
    void invalidJobIdIsRejected(String id) {
        assertFalse(JobSpecMessage.isId(id));
        assertEquals(Optional.empty(), JobSpecMessage.idOf(Json.object().put("nameId", id)));
    }
}
