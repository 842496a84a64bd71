package reducer

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/heatherwood/heatherwood/internal/dispatch"
	"github.com/heatherwood/heatherwood/internal/placing"
	"github.com/heatherwood/heatherwood/internal/relay"
	"github.com/heatherwood/heatherwood/internal/share"
	"github.com/heatherwood/heatherwood/pkg/document"
)

// serviceShares divides the servers of one service among customers.
type serviceShares struct {
	*share.Shares
	shortages []shortage // by rank
}

// shortage is a time in which requests of a rank are refused for fair share.
type shortage struct {
	open      bool
	refused   int64 // requests of the rank at the last check, since the start of this VM
	before    int64 // the same, when the shortage began
	refusedAt time.Time
}

const (
	shareCheckInterval = time.Second      // between checks for the begin and end of shortages, and counts of entries
	shortageEndsAfter  = 10 * time.Second // without a refusal; shortages log two lines at most in that time
	floodFactor        = 4                // times the highest rate of a customer, which is the reference of the levels: the demand of a flood may be this high
)

// configureShares applies a new document: there are shares for the services that this VM places
// if there are customers.
func (s *State) configureShares() {
	kept := make(map[string]*serviceShares)
	reference := shareReference(&s.document.Customers)
	for i := range s.document.Services.Services {
		service := &s.document.Services.Services[i]
		if !s.document.Customers.Enabled() || service.Placing != document.PlacingEntry {
			continue
		}
		shares := s.shares[service.Name]
		if shares == nil {
			shares = &serviceShares{Shares: share.New(xxhash.Sum64String(s.Settings.VM + service.Name))}
			shares.shortages = make([]shortage, shares.Ranks())
		}
		shares.Reference = reference
		kept[service.Name] = shares
	}
	s.shares = kept
}

// shareReference returns the level before any shortage, which all entries derive from the document
// in the same way.
func shareReference(customers *document.Customers) float64 {
	highest := 0.0
	for i := range customers.Customers {
		c := &customers.Customers[i]
		highest = max(highest, c.Rate)
		if !c.Limited() {
			highest = max(highest, share.DefaultReference/floodFactor)
		}
	}
	return max(highest, 1) * floodFactor
}

// customerDemand returns the demand of a customer in the failure domain, in requests a second; 0 lets
// the shares count the requests of this entry. Customers without a limit get no grants, which
// tell of the failure domain.
func (s *State) customerDemand(name string) float64 {
	if _, limited := s.limitOf(name); !limited {
		return 0
	}
	return s.demandOf(name, s.now)
}

// shareRequest describes a request to the shares of its service. They are nil for one that they
// do not decide: it was sent before, or came through another VM.
func (s *State) shareRequest(r *relay.Request) (*serviceShares, share.Request) {
	shares := s.shares[r.Service]
	if shares == nil || r.Grant != nil || r.TakenOver {
		return nil, share.Request{}
	}
	return shares, share.Request{Customer: r.Customer, Route: r.Route.Name, Rank: r.Rank, Demand: s.customerDemand(r.Customer)}
}

// askShare denies a request whose customer had its share where servers are short.
func (s *State) askShare(r *relay.Request, choice placing.Choice) (dispatch.Answer, bool) {
	shares, request := s.shareRequest(r)
	if shares == nil {
		return dispatch.Answer{}, false
	}
	// A server on probation gets few requests; this one is needed to learn whether it answers.
	request.Room = choice.Server != nil && (choice.Server.Probing() || shareResult(choice.Server, s.now) == share.Room)
	admitted, retryAfter := shares.Admit(request, s.now)
	if admitted {
		return dispatch.Answer{}, false
	}
	s.emit(Decision{Code: CodeFairShareRefused, Request: r.ID, Outcome: string(dispatch.ReasonFairShare), Fields: []Field{
		{"route", r.Route.Name},
		{"service", r.Service},
		{"customer", r.Customer},
		{"rank", int64(r.Rank)},
		{"demand", shares.Demand(request, s.now)},
		{"fair_level", shares.Level(r.Rank, s.now)},
		{"retry_after", retryAfter},
		{"document", int64(s.documentAt.Index)},
	}})
	return dispatch.Answer{Denial: &dispatch.Denial{Reason: dispatch.ReasonFairShare, RetryAfter: retryAfter}}, true
}

// notePlaced notes what placing decided about a request.
func (s *State) notePlaced(r *relay.Request, result share.Result) {
	if shares, request := s.shareRequest(r); shares != nil {
		shares.Placed(request, result, s.now)
	}
}

// noteReport notes the load that a server reported at the end of a request.
func (s *State) noteReport(r *relay.Request, load placing.Load) {
	if shares := s.shares[r.Service]; shares != nil && load.Known {
		shares.Reported(r.Rank, load.Running+load.Waiting < load.Slots, s.now)
	}
}

// shareResult tells whether the next request has a free slot at a server.
func shareResult(server *placing.Server, now time.Time) share.Result {
	if server.Load(now)+1 <= float64(server.Slots) {
		return share.Room
	}
	return share.Queued
}

// tickShares logs the begin and end of shortages, and counts the entries of the failure domain.
func (s *State) tickShares() {
	if len(s.shares) == 0 || s.now.Before(s.sharesDue) {
		return
	}
	s.sharesDue = s.now.Add(shareCheckInterval)
	entries := 0
	for _, vm := range s.members.Alive() {
		if vm.Entry != "" {
			entries++
		}
	}
	for i := range s.document.Services.Services {
		service := s.document.Services.Services[i].Name
		shares := s.shares[service]
		if shares == nil {
			continue
		}
		shares.Scale = float64(entries)
		for rank := range shares.shortages {
			s.checkShortage(service, shares, rank)
		}
	}
}

func (s *State) checkShortage(service string, shares *serviceShares, rank int) {
	short := &shares.shortages[rank]
	refused := shares.Refused(rank)
	outcome := ""
	switch {
	case refused > short.refused:
		if !short.open {
			outcome, short.open, short.before = "short", true, short.refused
		}
		short.refusedAt = s.now
	case short.open && s.now.Sub(short.refusedAt) >= shortageEndsAfter:
		outcome, short.open = "ended", false
	}
	short.refused = refused
	if outcome != "" {
		s.emit(Decision{Code: CodeFairShare, Outcome: outcome, Fields: []Field{
			{"service", service},
			{"rank", int64(rank)},
			{"fair_level", finiteLevel(shares, rank, s.now)},
			{"refused", refused - short.before},
		}})
	}
}

// finiteLevel returns the level of a rank; 0 stands for no level, which neither logs nor the status
// can write.
func finiteLevel(shares *serviceShares, rank int, now time.Time) float64 {
	if level := shares.Level(rank, now); !math.IsInf(level, 1) {
		return level
	}
	return 0
}

// shareStatus lists the ranks of services of which requests are, or were, refused for fair share.
func (s *State) shareStatus() []ShareStatus {
	var status []ShareStatus
	if s.document == nil {
		return nil
	}
	for i := range s.document.Services.Services {
		name := s.document.Services.Services[i].Name
		shares := s.shares[name]
		if shares == nil {
			continue
		}
		for rank := range shares.Ranks() {
			level, refused := finiteLevel(shares, rank, s.now), shares.Refused(rank)
			if level > 0 || refused > 0 {
				status = append(status, ShareStatus{Service: name, Rank: rank, Level: level, Refused: refused})
			}
		}
	}
	return status
}
