package roster

import "time"

// Source tells from where a VM knows what it knows of a server.
type Source string

// The sources.
const (
	FromServer Source = "server" // it announced itself to this VM
	FromVM     Source = "vm"     // another VM sent the record
	FromDisk   Source = "disk"   // saved before this VM started
	FromOrder  Source = "order"  // its failure domain was opened again

	FromConnection Source = "connection" // those of this VM broke or were refused, or it stood still
	FromAnswer     Source = "answer"     // its answer to a health check of this VM
)

// Word tells from where and since when a VM knows the cold time of a server.
type Word struct {
	Source Source
	At     time.Time
	VM     string // that sent the record; empty from other sources, and from VMs of earlier releases
}
