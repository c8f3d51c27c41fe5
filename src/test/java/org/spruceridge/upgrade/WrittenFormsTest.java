package org.spruceridge.upgrade;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.io.BaseEncoding;
import java.nio.charset.StandardCharsets;
import java.util.BitSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.spruceridge.cluster.Binding;
import org.spruceridge.cluster.Cluster;
import org.spruceridge.cluster.Job;
import org.spruceridge.cluster.JobKind;
import org.spruceridge.cluster.JobPriority;
import org.spruceridge.cluster.JobSpec;
import org.spruceridge.cluster.Machine;
import org.spruceridge.cluster.MachineKind;
import org.spruceridge.cluster.MachineType;
import org.spruceridge.cluster.Resources;
import org.spruceridge.net.BadMessageException;
import org.spruceridge.net.Json;
import org.spruceridge.peer.MemberVersion;
import org.spruceridge.peer.PeerHeartbeatCodec;
import org.spruceridge.record.BindingsRecord;
import org.spruceridge.record.CatalogueRecord;
import org.spruceridge.record.FinishedTasksRecord;
import org.spruceridge.record.JobRecord;
import org.spruceridge.record.LeaderRecord;
import org.spruceridge.sim.Fixtures;
import org.spruceridge.sim.ProductionVersion;

/**
 * The forms in which this version writes its records and messages, byte by byte. One that changes without a feature level
 * of its own fails here: then nodes of the version before cannot be trusted to read it. What is written at the base level
 * is also given to the reader of the version in production, and what that writes to ours.
 */
final class WrittenFormsTest {
    private static final int CHUNK = 1000;
    private static final Resources TASK = new Resources(2, 0, 3.5);

    private static JobSpec spec(JobKind kind) {
        return new JobSpec(
                "j-000007",
                "nightly",
                "red",
                kind,
                JobPriority.HIGH,
                3,
                TASK,
                Optional.of(ImmutableSet.of("t4")),
                Optional.of("a"),
                false,
                true,
                false,
                "img",
                1.5,
                kind == JobKind.SERVICE ? 0 : 60,
                20,
                3,
                OptionalDouble.of(90));
    }

    private static String text(JsonNode value) {
        return new String(Json.bytes(value), StandardCharsets.UTF_8);
    }

    private static final String JOB_ARRAY_SPEC =
            "{\"nameId\":\"j-000007\",\"lot\":\"nightly\",\"crew\":\"red\",\"shape\":\"sweep\",\"rank\":\"high\","
                    + "\"parts\":3,"
                    + "\"cpus\":2.0,\"accelerators\":0.0,\"memGb\":3.5,\"bundle\":\"img\",\"pullGb\":1.5,"
                    + "\"samePlace\":false,\"scatter\":true,\"windfall\":false,\"expectS\":60.0,\"markEveryS\":20.0,"
                    + "\"markS\":3.0,\"builds\":[\"t4\"],\"grove\":\"a\",\"dueS\":90.0}";

    private static ObjectNode bindings() {
        Cluster cluster = new Cluster();
        Machine machine = new Machine("i-000001", "", new MachineKind("t4", "a", true), 0, 0);
        Job job = new Job(spec(JobKind.ARRAY), 1, 0);
        for (int i = 0; i < 2; i++) {
            cluster.bind(new Binding(job, i, (9L << 24) + i, machine, Binding.Stage.COMMITTED, 0));
        }
        return BindingsRecord.write("w9.1", List.of(machine), b -> true);
    }

    private static ObjectNode finished(FeatureLevel level) {
        BitSet tasks = new BitSet();
        tasks.set(0);
        tasks.set(9);
        return FinishedTasksRecord.write(
                "w9.1", level, CHUNK, List.of(new FinishedTasksRecord.Chunk("j-000007", 2 * CHUNK, tasks)));
    }

    private static ObjectNode catalogue() {
        MachineType type = new MachineType("t4", new Resources(4, 0, 16), 1, 0.2, 0.06, 20, ImmutableList.of("a", "b"));
        return new CatalogueRecord(ImmutableMap.of("t4", type)).write();
    }

    @Test
    void recordsAreWrittenAsBefore() {
        assertEquals(
                "{\"stage\":\"open\",\"at\":5,\"spec\":" + JOB_ARRAY_SPEC + "}",
                text(JobRecord.open(spec(JobKind.ARRAY), 5).write()));
        assertEquals(
                "{\"stage\":\"cancelled\",\"at\":5,\"ended_at\":8,\"spec\":" + JOB_ARRAY_SPEC + "}",
                text(JobRecord.open(spec(JobKind.ARRAY), 5)
                        .ended(JobRecord.Stage.CANCELLED, 8)
                        .write()));
        assertEquals(
                "{\"host\":\"n0\",\"incarnation\":\"ab\",\"term\":9}", text(new LeaderRecord("n0", "ab", 9).write()));
        assertEquals(
                "{\"b\":\"kZSidDShYcORqGktMDAwMDAxkqhqLTAwMDAwNwDOCQAAAMABzgkAAAE=\",\"w\":\"w9.1\"}",
                text(bindings()));
        assertEquals("{\"b\":\"kahqLTAwMDAwNwLEAgEC\",\"w\":\"w9.1\"}", text(finished(FeatureLevel.BASE)));
        assertEquals(
                "{\"types\":[{\"name\":\"t4\",\"cpus\":4.0,\"gpus\":0.0,\"memGb\":16.0,\"fetch\":1.0,\"price\":0.2,"
                        + "\"spotPrice\":0.06,\"bootS\":20.0,\"zones\":[\"a\",\"b\"]}]}",
                text(catalogue()));
    }

    @Test
    void formsOfTheLevelOfServices() {
        assertEquals("{\"level\":2}", text(FeatureLevel.SERVICES.write()));
        assertEquals(
                "{\"b\":\"kahqLTAwMDAwN80H0MQCAQI=\",\"w\":\"w9.1\",\"f\":2}", text(finished(FeatureLevel.SERVICES)));
        assertEquals(
                "{\"stage\":\"open\",\"at\":5,\"spec\":"
                        + JOB_ARRAY_SPEC
                                .replace("\"sweep\"", "\"standing\"")
                                .replace("\"expectS\":60.0", "\"expectS\":0.0")
                        + "}",
                text(JobRecord.open(spec(JobKind.SERVICE), 5).write()));
    }

    @Test
    void aHeartbeatIsLongerThanBeforeAtItsEndOnly() {
        assertEquals(
                "98A26E30C3C20781A86A2D30303030303192030491A86A2D30303030303202A5302E322E30",
                BaseEncoding.base16().encode(PeerHeartbeatCodec.encode(Fixtures.heartbeat())));
    }

    /** Production's reader takes what we write at the base level, and writes it again as it was. */
    @Test
    void productionReadsWhatIsWrittenAtTheBaseLevel() {
        JsonNode open = JobRecord.open(spec(JobKind.ARRAY), 5).write();
        JsonNode ended = JobRecord.open(spec(JobKind.ARRAY), 5)
                .ended(JobRecord.Stage.DONE, 8)
                .write();
        JsonNode leader = new LeaderRecord("n0", "ab", 9).write();
        assertEquals(open, rewritten("record.JobRecord", open));
        assertEquals(ended, rewritten("record.JobRecord", ended));
        assertEquals(leader, rewritten("record.LeaderRecord", leader));
        assertEquals(catalogue(), rewritten("record.CatalogueRecord", catalogue()));
        assertEquals(
                "[OnMachine[name=i-000001, kind=MachineKind[type=t4, zone=a, spot=true], bound=["
                        + "Bound[task=j-000007/0, attempt=150994944], Bound[task=j-000007/1, attempt=150994945]]]]",
                read("record.BindingsRecord", bindings()).toString());
        assertEquals(
                "[Chunk[job=j-000007, number=2, tasks={0, 9}]]",
                read("record.FinishedRecord", finished(FeatureLevel.BASE)).toString());
        assertEquals(
                "Heartbeat[hostName=n0, stateServes=true, workersReach=false, term=7,"
                        + " progress={j-000001=Progress[done=3, running=4]}, cancelled=[j-000002]]",
                ProductionVersion.call(
                                ProductionVersion.load("peer.Heartbeat"),
                                "read",
                                null,
                                PeerHeartbeatCodec.encode(Fixtures.heartbeat()))
                        .toString());
    }

    private static Object read(String type, JsonNode value) {
        return ProductionVersion.call(ProductionVersion.load(type), "read", null, value);
    }

    private static Object rewritten(String type, JsonNode value) {
        return ProductionVersion.call(ProductionVersion.load(type), "write", read(type, value));
    }

    /** A page of finished tasks as production writes it, with a chunk that is not the first. */
    @Test
    void ourReaderTakesProductionsPages() throws BadMessageException {
        FinishedTasksRecord.Chunk chunk =
                FinishedTasksRecord.read(finished(FeatureLevel.BASE), CHUNK).get(0);
        assertEquals(2 * CHUNK, chunk.first());
        assertEquals("{0, 9}", chunk.tasks().toString());
        assertEquals(
                chunk,
                FinishedTasksRecord.read(finished(FeatureLevel.SERVICES), 77).get(0));
    }

    /** Production says nothing of its version: six fields, no more. */
    @Test
    void aHeartbeatOfProductionAnnouncesNoLevel() throws BadMessageException {
        byte[] ours = PeerHeartbeatCodec.encode(Fixtures.heartbeat());
        byte[] theirs = java.util.Arrays.copyOf(ours, ours.length - "0.2.0".length() - 2);
        theirs[0] = (byte) 0x96;
        assertEquals(
                FeatureLevel.BASE.number(),
                PeerHeartbeatCodec.decode(theirs).version().supportedLevel());
        assertEquals(
                new MemberVersion(1, "0.1"), PeerHeartbeatCodec.decode(theirs).version());
    }

    @Test
    void whatALaterVersionWritesIsRefusedAndNamed() {
        ObjectNode page = finished(FeatureLevel.SERVICES).put("f", 3);
        assertTrue(assertThrows(BadMessageException.class, () -> FinishedTasksRecord.read(page, CHUNK))
                .getMessage()
                .contains("3"));
        assertTrue(assertThrows(
                        BadMessageException.class,
                        () -> FeatureLevel.read(Json.object().put("level", 9)))
                .getMessage()
                .contains("9"));
        assertThrows(
                BadMessageException.class, () -> FeatureLevel.read(Json.object().put("level", "2")));
        assertThrows(BadMessageException.class, () -> FeatureLevel.read(Json.object()));
        JsonNode unknownShape = JobRecord.open(spec(JobKind.ARRAY), 5).write();
        ((ObjectNode) unknownShape.get("spec")).put("shape", "gang");
        assertTrue(assertThrows(BadMessageException.class, () -> JobRecord.read(unknownShape))
                .getMessage()
                .contains("gang"));
    }

    @ParameterizedTest
    @EnumSource(JobKind.class)
    void aJobRecordIsReadAsItWasWritten(JobKind kind) throws BadMessageException {
        JobRecord record = JobRecord.open(spec(kind), 5);
        assertEquals(record, JobRecord.read(record.write()));
    }

    /** A record that was accepted when values could be larger can still be ended, and read as what it was. */
    @Test
    void theEndOfALargeRecordFitsASmallerLimit() throws BadMessageException {
        JobSpec large = spec(JobKind.ARRAY).withNames("\u00e9".repeat(200), "\ud83d\ude00".repeat(100));
        JobRecord ended = JobRecord.open(large, 5).ended(JobRecord.Stage.CANCELLED, 8);
        int limit = 900;
        assertFalse(ended.fits(limit));
        JsonNode written = ended.write(limit);
        assertTrue(Json.bytes(written).length <= limit);
        JobRecord read = JobRecord.read(written);
        assertEquals(JobRecord.Stage.CANCELLED, read.stage());
        assertEquals(8, read.endedMs());
        assertEquals(TASK, read.spec().task());
        assertEquals("red", read.spec().team());
    }
}
