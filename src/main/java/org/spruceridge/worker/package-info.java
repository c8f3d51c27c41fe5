/** Messages of workers: their reports, and the commands that they are sent. */
package org.spruceridge.worker;
