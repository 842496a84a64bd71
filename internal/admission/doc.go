// Package admission queues the requests of one service by rank: urgent ranks
// first, a guaranteed share for each rank, and early refusal of work that
// cannot finish before its deadline.
package admission
