/** The users' requests: submissions, polls and cancellations. */
package org.spruceridge.api;
