package org.spruceridge.cluster;

import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import java.util.OptionalDouble;

/** A job as its user submitted it. */
public record JobSpec(
        String id,
        String jobClass,
        String team,
        JobKind kind,
        JobPriority priority,
        int tasks,
        Resources task,
        Optional<ImmutableSet<String>> types,
        Optional<String> zone,
        boolean oneZone,
        boolean spread,
        boolean spot,
        String image,
        double imageGb,
        double estimateS,
        double checkpointIntervalS,
        double checkpointDurationS,
        OptionalDouble deadlineS) {

    /** True if its tasks are replicas of a service, which run until the job is cancelled. */
    public boolean isService() {
        return kind == JobKind.SERVICE;
    }

    /** True if a stopped task can go on from where it was. */
    public boolean canCheckpoint() {
        return checkpointIntervalS > 0;
    }

    /** The most tasks that may be in one zone at a time. */
    public int zoneLimit() {
        return spread ? (tasks + 1) / 2 : tasks;
    }

    /** The same job with other allowed types. */
    public JobSpec withTypes(Optional<ImmutableSet<String>> allowed) {
        return new JobSpec(
                id,
                jobClass,
                team,
                kind,
                priority,
                tasks,
                task,
                allowed,
                zone,
                oneZone,
                spread,
                spot,
                image,
                imageGb,
                estimateS,
                checkpointIntervalS,
                checkpointDurationS,
                deadlineS);
    }

    /** The same job with other names for its class and image, which matter to nobody once it has ended. */
    public JobSpec withNames(String otherClass, String otherImage) {
        return new JobSpec(
                id,
                otherClass,
                team,
                kind,
                priority,
                tasks,
                task,
                types,
                zone,
                oneZone,
                spread,
                spot,
                otherImage,
                imageGb,
                estimateS,
                checkpointIntervalS,
                checkpointDurationS,
                deadlineS);
    }

    /** True if the job allows this type, zone and kind of machine, its other tasks apart. */
    public boolean allows(String type, String machineZone, boolean spotMachine) {
        return (types.isEmpty() || types.get().contains(type))
                && (zone.isEmpty() || zone.get().equals(machineZone))
                && (spot || !spotMachine);
    }
}
