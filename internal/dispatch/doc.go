// Package dispatch grants the slots of the backend servers of one service in
// one failure domain. One VM of the domain, the owner, holds a Pool; every
// entry of the domain asks it. Pools of different domains lend each other slots
// for seconds.
package dispatch
