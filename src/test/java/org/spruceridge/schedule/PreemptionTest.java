package org.spruceridge.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;
import org.spruceridge.cluster.Binding;
import org.spruceridge.cluster.Job;
import org.spruceridge.cluster.JobPriority;
import org.spruceridge.cluster.Machine;

/** Which running tasks a scheduling cycle preempts for urgent ones. */
final class PreemptionTest extends MatchingFixture {
    @Test
    void urgentTaskPreemptsOneLowerTaskPerMachineWithinTheInterval() {
        Machine m = machine("m", "a", false);
        JobBuilder low = job();
        low.priority = JobPriority.LOW;
        low.tasks = 2;
        Job victimJob = low.add();
        running(victimJob, 0, m);
        running(victimJob, 1, m);
        JobBuilder high = job();
        high.priority = JobPriority.HIGH;
        high.tasks = 2;
        high.estimateS = 30;
        high.deadlineS = OptionalDouble.of(40);
        high.add();
        Plan plan = plan();
        assertEquals(1, plan.preemptions().size());
        plan.preemptions().get(0).requestStop(Binding.StopMode.CHECKPOINT);
        m.recordPreemption(NOW);
        assertEquals(0, plan().preemptions().size());
    }

    /** One preemption for each task would throw work away for nothing. */
    @Test
    void onePreemptionCountsForAllTasksThatItMakesRoomFor() {
        JobBuilder low = job();
        low.priority = JobPriority.LOW;
        low.tasks = 3;
        low.cpus = 8;
        Job victims = low.add();
        for (int i = 0; i < 3; i++) {
            running(victims, i, machine("m" + i, "a", false));
        }
        JobBuilder high = job();
        high.priority = JobPriority.HIGH;
        high.tasks = 5;
        high.cpus = 2;
        high.estimateS = 30;
        high.deadlineS = OptionalDouble.of(40);
        high.add();
        assertEquals(2, plan().preemptions().size());
    }

    @Test
    void tasksOfTheSamePriorityAreNeverPreempted() {
        Machine m = machine("m", "a", false);
        JobBuilder first = job();
        first.tasks = 2;
        Job running = first.add();
        running(running, 0, m);
        running(running, 1, m);
        JobBuilder pressing = job();
        pressing.deadlineS = OptionalDouble.of(40);
        pressing.add();
        assertTrue(plan().preemptions().isEmpty());
    }
}
