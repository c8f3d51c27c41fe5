package org.spruceridge.cluster;

/** Writes to the records that tasks have left their machines. */
public interface BindingReleaser {
    /** Releases a binding whose task is proven not to be on its machine; {@code done} if the task completed. */
    void release(Binding binding, boolean done);
}
