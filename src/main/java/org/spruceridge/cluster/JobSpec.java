package org.spruceridge.cluster;

import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import java.util.OptionalDouble;

/**
 * A job as submitted by its user.
 *
 * @param jobClass the name that service-level objectives refer to
 * @param taskResources the resources that each task requests
 * @param allowedMachineTypes the names of the allowed machine types; if empty, all machine types are allowed
 * @param zone the only allowed zone; if empty, all zones are allowed
 * @param oneZone whether all tasks must be in the same zone
 * @param spread whether the number of tasks in one zone is limited to half of all tasks, rounded up
 * @param spot whether spot machines are allowed
 * @param imageGb the size of the image in gigabytes
 * @param estimateS the estimated run time of a task in seconds
 * @param checkpointIntervalS the time between checkpoints of a task in seconds; 0 if the task cannot save checkpoints
 * @param checkpointDurationS the time that a task takes to save a checkpoint, in seconds
 * @param deadlineS the time by which the job should be complete, in seconds after its submission
 */
public record JobSpec(
        String id,
        String jobClass,
        String team,
        JobKind kind,
        JobPriority priority,
        int taskCount,
        Resources taskResources,
        Optional<ImmutableSet<String>> allowedMachineTypes,
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

    /** True if the tasks are replicas of a service, which run until the job is cancelled. */
    public boolean isService() {
        return kind == JobKind.SERVICE;
    }

    /** True if a stopped task can resume from a checkpoint. */
    public boolean canCheckpoint() {
        return checkpointIntervalS > 0;
    }

    /** The maximum number of tasks in one zone at a time. */
    public int zoneLimit() {
        return spread ? (taskCount + 1) / 2 : taskCount;
    }

    /** Returns a copy of this spec with the given allowed machine types; if empty, all machine types are allowed. */
    public JobSpec withAllowedMachineTypes(Optional<ImmutableSet<String>> allowed) {
        return copy(jobClass, image, allowed);
    }

    /** Returns a copy of this spec with the given job class and image name. An ended job needs neither name. */
    public JobSpec withClassAndImage(String newClass, String newImage) {
        return copy(newClass, newImage, allowedMachineTypes);
    }

    private JobSpec copy(String newClass, String newImage, Optional<ImmutableSet<String>> newTypes) {
        return new JobSpec(
                id,
                newClass,
                team,
                kind,
                priority,
                taskCount,
                taskResources,
                newTypes,
                zone,
                oneZone,
                spread,
                spot,
                newImage,
                imageGb,
                estimateS,
                checkpointIntervalS,
                checkpointDurationS,
                deadlineS);
    }

    /** True if the job allows machines of this kind. Does not consider the zones of the other tasks of the job. */
    public boolean allows(String type, String machineZone, boolean spotMachine) {
        return (allowedMachineTypes.isEmpty() || allowedMachineTypes.get().contains(type))
                && (zone.isEmpty() || zone.get().equals(machineZone))
                && (spot || !spotMachine);
    }
}
