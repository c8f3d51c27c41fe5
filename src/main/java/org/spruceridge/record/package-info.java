/**
 * The records kept in the state service, their keys and their stored forms. The strings here are stored names and never
 * change; golden tests hold them.
 *
 * <p>The writers are the election, the user API and the leader's record writer; the failover reads them back. All run on
 * the one event loop.
 */
package org.spruceridge.record;
