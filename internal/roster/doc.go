// Package roster keeps the announced backend servers of all failure domains on
// every VM. Updates are flooded at once, and VMs whose digests of a failure
// domain differ exchange their records of it.
package roster
