package org.spruceridge.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;
import org.spruceridge.cluster.Binding;
import org.spruceridge.cluster.Job;
import org.spruceridge.cluster.JobPriority;
import org.spruceridge.cluster.Machine;

/** Tests which running tasks a scheduling cycle preempts for urgent jobs. */
final class PreemptionTest extends MatchingFixture {
    @Test
    void urgentJobPreemptsOneTaskPerMachineWithinMinInterval() {
        Machine machine = addMachine("m", "a", false);
        JobBuilder low = job();
        low.priority = JobPriority.LOW;
        low.tasks = 2;
        Job victimJob = low.add();
        bindRunning(victimJob, 0, machine);
        bindRunning(victimJob, 1, machine);
        JobBuilder high = job();
        high.priority = JobPriority.HIGH;
        high.tasks = 2;
        high.estimateS = 30;
        high.deadlineS = OptionalDouble.of(40);
        high.add();
        Plan plan = plan();
        assertEquals(1, plan.preemptions().size());
        plan.preemptions().get(0).requestStop(Binding.StopMode.CHECKPOINT);
        machine.recordPreemption(NOW);
        assertEquals(0, plan().preemptions().size());
    }

    /**
     * Guards against one preemption per waiting task. One preemption can make room for several tasks, and each
     * preemption loses work.
     */
    @Test
    void onePreemptionServesAllWaitingTasksThatFit() {
        JobBuilder low = job();
        low.priority = JobPriority.LOW;
        low.tasks = 3;
        low.cpus = 8;
        Job victimJob = low.add();
        for (int i = 0; i < 3; i++) {
            bindRunning(victimJob, i, addMachine("m" + i, "a", false));
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
    void tasksOfSamePriorityAreNotPreempted() {
        Machine machine = addMachine("m", "a", false);
        JobBuilder first = job();
        first.tasks = 2;
        Job running = first.add();
        bindRunning(running, 0, machine);
        bindRunning(running, 1, machine);
        JobBuilder urgent = job();
        urgent.deadlineS = OptionalDouble.of(40);
        urgent.add();
        assertTrue(plan().preemptions().isEmpty());
    }
}
