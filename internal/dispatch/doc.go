// Package dispatch grants the slots of the backend servers of one service in
// one failure domain. One VM of the domain, the owner, holds a Pool, and every
// entry of the domain requests slots from it. Pools of different domains lend
// each other slots for a few seconds at a time.
package dispatch
