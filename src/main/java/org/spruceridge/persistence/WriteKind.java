package org.spruceridge.persistence;

/** The effect of a pending write on the record of a binding. */
enum WriteKind {
    /** Adds a proposed binding. */
    BIND,
    /** Removes the binding; its task is then scheduled again. */
    RELEASE,
    /** Removes the binding and records its task as done. */
    COMPLETE
}
