/**
 * The leader's durable writes: bindings, releases and completions are batched into compare-and-swap transactions, and kept
 * in pages of the state service, each a record of many machines or tasks.
 *
 * <p>{@link org.spruceridge.persistence.RecordWriter} is the entry; the scheduling loop, the heartbeat handler and the job
 * watcher call it on the one event loop. The failover restores the pages of
 * {@link org.spruceridge.persistence.RecordPages}.
 */
package org.spruceridge.persistence;
