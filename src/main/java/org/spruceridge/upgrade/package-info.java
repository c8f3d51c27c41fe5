/**
 * Rolling upgrades: the cluster feature level determines the record formats that nodes are allowed to write while nodes
 * of two versions run side by side. Elections and the user API read the level through {@link
 * org.spruceridge.upgrade.ClusterFeatureLevel}; the leader raises it through {@link
 * org.spruceridge.upgrade.FeatureLevelUpgrader}. All code runs on the node's event loop. The code for record formats of
 * the base level can be removed once no operator upgrades from a version before 0.2.
 */
package org.spruceridge.upgrade;
