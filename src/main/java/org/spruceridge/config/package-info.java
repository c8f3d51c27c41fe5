/** The platform's settings and the operators' policy, read and checked, and the time budget of a cancellation. */
package org.spruceridge.config;
