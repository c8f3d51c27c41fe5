/**
 * The platform's settings and the operators' policy, read and checked once at the start, and the time budget of a
 * cancellation that follows from them. Used by all packages; everything here is immutable.
 */
package org.spruceridge.config;
