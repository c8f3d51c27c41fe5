/** Client and messages of the cloud's machine API. */
package org.spruceridge.cloud;
