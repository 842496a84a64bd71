// Package roster keeps the announced backend servers of all failure domains on
// every VM. News is flooded at once, and VMs that differ exchange their records
// of the failure domain in which they differ.
package roster
