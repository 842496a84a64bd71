// Package placing chooses the backend server for a request. The choice is made
// by the entry that received the request, among the servers of all failure
// domains.
//
// It is meant for services whose requests run several times faster on a server
// that recently handled the same object (a warm run). Rendezvous hashing gives
// each object an order of servers that is the same at all entries, so that its
// requests go to the first of them, and to the next ones only when the first is
// loaded. Without that, cold runs need more than all slots although warm runs
// need only half of them.
package placing
