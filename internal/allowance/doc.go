// Package allowance divides the request rate that a backend server takes from all VMs
// together over the VMs that send to it.
//
// One VM, in the failure domain of the server, is the allocator of the server. It hands
// out allowances, each for one request that begins within TTL of the message that asked
// for it. A VM without an allowance sends nothing to the server, so what the server gets
// is bounded by what one token bucket gave out: in any window, the rate times the window
// and TTL, plus the burst. Lost, repeated and late messages can only lower it.
package allowance
