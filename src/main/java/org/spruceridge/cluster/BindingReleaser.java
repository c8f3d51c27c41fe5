package org.spruceridge.cluster;

/** Records that tasks have left their machines. */
public interface BindingReleaser {
    /**
     * Releases a binding whose task is proven not to be on its machine; {@code taskCompleted} is true if the task ran
     * to completion.
     */
    void release(Binding binding, boolean taskCompleted);
}
