/**
 * The records in the state service, their keys and their stored forms. The strings in this package are stored names and
 * must never change; golden tests check them.
 *
 * <p>The election, the user API and the leader's record writer write the records, and the failover reads them. All run
 * on the single event loop.
 */
package org.spruceridge.record;
