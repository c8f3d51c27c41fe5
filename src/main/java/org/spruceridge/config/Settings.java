package org.spruceridge.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.spruceridge.net.BadMessageException;
import org.spruceridge.net.Json;

/** The settings that the platform provides. The platform defines the fields of the file; unknown fields are ignored. */
public record Settings(
        String hostName,
        String zone,
        Address serveAddress,
        Address peerListenAddress,
        ImmutableList<Member> members,
        Address cloudAddress,
        Address stateAddress,
        ImmutableList<String> zones,
        ImmutableMap<String, Team> teams,
        ImmutableList<Objective> objectives,
        Workers workers,
        State state,
        Cloud cloud,
        Resources resources,
        double clockErrorBoundMs) {

    /** Another controller node. */
    public record Member(String hostName, String zone, Address address) {}

    /**
     * The quota of a team: its guarantee ({@code cpus}, {@code gpus}) and its limit ({@code cpusMax}, {@code gpusMax});
     * a limit of 0 means no limit.
     */
    public record Team(String name, double cpus, double cpusMax, double gpus, double gpusMax) {}

    /**
     * A service-level objective: the share of the jobs of a class that must meet the time {@code withinS}, in seconds.
     */
    public record Objective(String kind, String jobClass, double withinS, double share) {}

    /** The heartbeat interval and the lease of workers, and the deadline for a cancellation, in seconds. */
    public record Workers(double heartbeatIntervalS, double leaseS, double cancelS) {
        private static final double MAX_DECISION_DELAY_LEASES = 0.1;

        /** The maximum time in seconds for which the leader delays scheduling decisions while requests are queued. */
        public double maxDecisionDelayS() {
            return MAX_DECISION_DELAY_LEASES * leaseS;
        }
    }

    /** The limits of the state service: requests and writes per second, kilobytes per value, writes per transaction. */
    public record StateLimits(double rps, double writeRps, double valueKb, int txnOps) {}

    /**
     * The current and the upcoming limits of the state service. The time at which the limits change is not announced.
     * The current rates are used until the service rejects a request. The sizes of values and transactions respect both
     * sets of limits from the start.
     */
    public record State(StateLimits current, StateLimits next) {
        /**
         * The maximum size of a record in kilobytes. It applies even if the service allows larger values, because a
         * transaction contains several records.
         */
        private static final double MAX_RECORD_KB = 8;

        private static final int BYTES_PER_KB = 1024;

        /**
         * The minimum size limit of values in kilobytes. A record page of a single machine does not fit into a smaller
         * value.
         */
        static final double MIN_VALUE_KB = 1;

        /**
         * The minimum limit of writes per transaction. With a lower limit, one transaction cannot end a job and release
         * its last task.
         */
        static final int MIN_TXN_OPS = 3;

        /** Creates limits that do not change: the upcoming limits equal the current ones. */
        public State(double rps, double writeRps, double valueKb, int txnOps) {
            this(new StateLimits(rps, writeRps, valueKb, txnOps), new StateLimits(rps, writeRps, valueKb, txnOps));
        }

        /** The largest value that both sets of limits allow, in kilobytes. */
        public double valueKb() {
            return Math.min(current.valueKb, next.valueKb);
        }

        /** The largest value that both sets of limits allow, in bytes. */
        public int valueBytes() {
            return (int) (valueKb() * BYTES_PER_KB);
        }

        /** The maximum number of writes in a transaction that both sets of limits allow. */
        public int txnOps() {
            return Math.min(current.txnOps, next.txnOps);
        }

        /** The maximum size of the records of this scheduler, in kilobytes. */
        public double recordKb() {
            return Math.min(valueKb(), MAX_RECORD_KB);
        }

        /**
         * The maximum size in kilobytes of records that a version of the scheduler without support for upcoming limits
         * writes.
         */
        public double currentRecordKb() {
            return Math.min(current.valueKb, MAX_RECORD_KB);
        }

        /**
         * True if an upcoming rate is lower than the current rate. A request that the service rejects can then mean
         * that the upcoming limits already apply.
         */
        public boolean ratesWillFall() {
            return next.rps < current.rps || next.writeRps < current.writeRps;
        }
    }

    /** The maximum rate of requests to the cloud, per second, and the lag of its machine list, in seconds. */
    public record Cloud(double rps, double listLagS) {}

    /** The resources of the machine on which this node runs. */
    public record Resources(double coreShare, double memMb, int maxSockets) {}

    /** The number of controller nodes, including this one. */
    public int nodeCount() {
        return members.size() + 1;
    }

    /**
     * Reads and checks a settings file.
     *
     * @throws SettingsException if the file cannot be read, or a field is missing or invalid
     */
    public static Settings load(Path file) {
        byte[] bytes;
        try {
            bytes = Files.readAllBytes(file);
        } catch (IOException e) {
            throw SettingsException.unreadableFile(file, e);
        }
        try {
            return read(Json.object(bytes));
        } catch (BadMessageException e) {
            throw new SettingsException(e.getMessage());
        }
    }

    /**
     * Checks settings that have already been parsed.
     *
     * @throws SettingsException if a field is missing or invalid
     */
    public static Settings read(JsonNode root) {
        return new SettingsReader(root).read();
    }
}
