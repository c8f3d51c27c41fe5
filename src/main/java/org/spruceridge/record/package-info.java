/** The records that are kept in the state service, and their keys. */
package org.spruceridge.record;
