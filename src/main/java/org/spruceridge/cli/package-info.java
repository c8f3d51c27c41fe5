/**
 * The command line: parses options, builds the objects of a node and starts it. It holds no logic of its own. It runs on
 * the main thread, which hands everything over to the event loop.
 */
package org.spruceridge.cli;
