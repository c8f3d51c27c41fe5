/** The leader's durable writes: bindings, releases and job ends, gathered into transactions and kept in pages. */
package org.spruceridge.persistence;
