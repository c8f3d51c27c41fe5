/**
 * What lets two versions of the service run side by side: the cluster feature level, and who supports which. Code for
 * records of the first level can go once no operator upgrades from a version before 0.2.
 */
package org.spruceridge.upgrade;
