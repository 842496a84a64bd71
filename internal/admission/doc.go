// Package admission queues the requests of one service by rank. Urgent ranks come
// first, each rank has a guaranteed share of the capacity (its floor), and
// requests that cannot finish before their deadline are refused early.
package admission
