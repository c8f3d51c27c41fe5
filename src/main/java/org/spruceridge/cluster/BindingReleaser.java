package org.spruceridge.cluster;

/** Where proof about machines goes on record. */
public interface BindingReleaser {
    /** The task of the binding is certainly not on its machine; {@code done} if it completed. */
    void release(Binding binding, boolean done);
}
