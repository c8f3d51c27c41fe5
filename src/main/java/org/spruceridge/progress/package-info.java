/**
 * The progress of open jobs, as users see it: how the leader reports it, and how old a report may be when it answers a
 * user. The leader composes a {@link org.spruceridge.progress.ProgressReport}; other nodes receive it in the leader's
 * peer heartbeats or, while these do not arrive, read it from the state service. All code runs on the event loop.
 */
package org.spruceridge.progress;
