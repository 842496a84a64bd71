// Package customer divides the allowances of customers, rates of requests over all VMs,
// over the VMs that take their requests.
//
// Each failure domain that holds a share of a customer's allowance keeps it in a token
// bucket on one of its VMs, the allocator. An entry asks the allocator of its own domain
// for allowances, each for one request that begins within the lifetime of the allowance.
// An allocator that lacks tokens borrows some of another domain: tokens move, and live no
// longer than their lifetime after that. In any window the requests are thus bounded by
// what the buckets hold and gain in the window and two lifetimes. Lost, late and repeated
// messages can only lower it.
//
// Nothing here reads a clock, draws random numbers or sends messages.
package customer
