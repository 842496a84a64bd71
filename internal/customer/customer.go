package customer

import "time"

// Request asks the allocator of a failure domain for allowances.
type Request struct {
	ID       uint64 // rises with each request of the sender
	Peer     string // host:port of the sender for calls between VMs
	Customer string

	Document    uint64  // log index of the sender's document
	Rate, Burst float64 // of the customer in that document

	Waiting int // requests that wait for this answer
	Ahead   int // further ones that the sender would use
	Arrived int // requests of the customer at the sender since its last Request
}

// Grant answers a Request.
type Grant struct {
	ID       uint64 // of the Request
	Customer string
	Count    int           // allowances
	Wait     time.Duration // until there is room for the first request that got none, if one got none
	Spacing  time.Duration // between the times of that one and the next ones
	Demand   float64       // requests a second of the customer in the failure domain
}

// LoanRequest asks the allocator of another failure domain for tokens.
type LoanRequest struct {
	ID       uint64 // rises with each request of the sender
	Peer     string // host:port of the sender for calls between VMs
	Domain   string // that is asked
	Customer string

	Document    uint64  // log index of the sender's document
	Rate, Burst float64 // of the customer in that document

	Count int
}

// LoanGrant answers a LoanRequest.
type LoanGrant struct {
	ID       uint64 // of the LoanRequest
	Domain   string // that lends
	Customer string
	Count    int
	Left     float64 // tokens that it could lend after this
	Gain     float64 // tokens a second by which Left rises
}
