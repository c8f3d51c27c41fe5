/**
 * The platform's settings and the operators' policy, read and checked once at startup, and the time budget of a
 * cancellation that is derived from them. Used by all packages; all objects of this package are immutable.
 */
package org.spruceridge.config;
