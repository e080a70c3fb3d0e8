/** Immutable model of a deployment: regions, failure domains, hosts, services, routes, targets, teams and links. */
package org.knapweedhatch.world;
