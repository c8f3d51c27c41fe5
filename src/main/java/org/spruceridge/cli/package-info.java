/** The command line: it parses options, wires the parts together and holds no logic of its own. */
package org.spruceridge.cli;
