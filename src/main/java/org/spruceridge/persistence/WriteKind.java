package org.spruceridge.persistence;

/** What a pending write does with the record of a binding. */
enum WriteKind {
    /** Adds a proposed binding. */
    BIND,
    /** Removes the binding; its task runs again. */
    RELEASE,
    /** Removes the binding, and records its task as done. */
    COMPLETE
}
