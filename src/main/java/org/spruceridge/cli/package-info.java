/**
 * The command line: parses options, creates the objects of a node and starts it. It contains no other logic. It runs on
 * the main thread and passes all work to the event loop.
 */
package org.spruceridge.cli;
