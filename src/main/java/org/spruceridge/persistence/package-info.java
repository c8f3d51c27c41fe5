/**
 * The leader's durable writes. Bindings, releases and completions are batched into compare-and-swap transactions and
 * stored in pages. A page is a record in the state service that holds many machines or tasks.
 *
 * <p>{@link org.spruceridge.persistence.RecordWriter} is the entry point. The scheduling loop, the heartbeat handler
 * and the job watcher call it on the event loop. The failover restores the pages of
 * {@link org.spruceridge.persistence.RecordPages}.
 */
package org.spruceridge.persistence;
