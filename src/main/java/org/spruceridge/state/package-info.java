/** Client and messages of the state service. */
package org.spruceridge.state;
