// Package member keeps the list of VMs of the own failure domain by gossip of
// heartbeat counters, and one summary of each other failure domain. What a VM
// holds and sends grows with the size of its failure domain, not of the fleet.
package member
