// Command harness3 plays the scripted cases of the third review: it starts the project's program as
// the processes of a small deployment on loopback addresses, with stand-ins for clients, upstreams and
// the platform, and judges what these see.
package main
