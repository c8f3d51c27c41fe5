/** Which machines to rent and which to give back. */
package org.spruceridge.autoscaling;
