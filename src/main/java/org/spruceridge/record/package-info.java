/**
 * The records in the state service, their keys and their stored formats. The strings in this package are stored names
 * and must never change. Golden tests check the names.
 *
 * <p>The election, the user API and the leader's record writer write the records, and the failover reads them. All of
 * them run on the single event loop.
 */
package org.spruceridge.record;
