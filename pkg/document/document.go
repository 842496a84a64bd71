package document

import (
	"net/netip"
	"slices"
	"time"
)

// Section names one part of the steering document.
type Section string

// The sections.
const (
	SectionPlaces    Section = "places"
	SectionServices  Section = "services"
	SectionRanks     Section = "ranks"
	SectionStops     Section = "stops"
	SectionRoutes    Section = "routes"
	SectionCustomers Section = "customers"
	SectionClosures  Section = "closures"
)

// Written lists the sections that teams write, in the order of parsing.
func Written() []Section {
	return []Section{SectionPlaces, SectionServices, SectionRanks, SectionStops, SectionRoutes, SectionCustomers}
}

// Sections lists all sections in the order of parsing.
func Sections() []Section { return append(Written(), SectionClosures) }

// Known reports whether the section is one of those that teams write.
func (s Section) Known() bool { return slices.Contains(Written(), s) }

// Limits on what one section may hold.
const (
	MaxSectionBytes = 32 << 20 // bytes of TOML
	MaxBlocks       = 1 << 20  // client blocks in all places
	MaxEntries      = 4096     // regions, domains, places, services, ranks or stops
	MaxNameBytes    = 64
)

// Document is the parsed steering document.
type Document struct {
	Places    Places
	Services  Services
	Ranks     Ranks
	Stops     Stops
	Routes    Routes
	Customers Customers
	Closures  Closures
}

// IsWritten reports whether teams have written places, services or routes; closures come from API calls.
func (d *Document) IsWritten() bool {
	return len(d.Places.Domains) > 0 || len(d.Services.Services) > 0 || len(d.Routes.Routes) > 0
}

// Places holds the regions and failure domains, the latencies and links between
// regions, and the address blocks of clients.
type Places struct {
	Regions   []Region  `toml:"region"`
	Domains   []Domain  `toml:"domain"`
	Latencies []Latency `toml:"latency"`
	Links     []Link    `toml:"link"`
	Places    []Place   `toml:"place"`
}

// Region is a group of failure domains that share links to other regions.
type Region struct {
	Name string `toml:"name"`
}

// Domain is a failure domain inside a region.
type Domain struct {
	Name   string `toml:"name"`
	Region string `toml:"region"`
}

// Latency is the one-way latency between two regions, the same in both directions.
type Latency struct {
	From   string   `toml:"from"`
	To     string   `toml:"to"`
	OneWay Duration `toml:"oneway"`
}

// Link is the traffic limit between two regions, in each direction.
type Link struct {
	From  string   `toml:"from"`
	To    string   `toml:"to"`
	Limit BitsRate `toml:"limit"`
}

// Place is a group of client address blocks with one home region.
type Place struct {
	Name   string         `toml:"name"`
	Region string         `toml:"region"` // home region
	OneWay Duration       `toml:"oneway"` // one-way latency between its clients and the home region
	Blocks []netip.Prefix `toml:"blocks"`
}

// Services holds the services.
type Services struct {
	Services []Service `toml:"service"`
}

// Service is a group of backend servers that answer the same hosts.
type Service struct {
	Name     string           `toml:"name"`
	Hosts    []string         `toml:"hosts"`            // as in Host headers, without a port
	Regions  []string         `toml:"regions"`          // regions allowed to run it; none means all
	Target   PositiveDuration `toml:"target,omitempty"` // default time limit of requests under Rules
	Headroom Percent          `toml:"headroom"`         // share of the capacity kept free of shifted and lent work
	Cap      Percent          `toml:"cap"`              // share of the traffic that may shift in one Interval
	Interval Duration         `toml:"interval"`         // time over which Cap counts
	Warm     Duration         `toml:"warm"`             // ramp-up time of a new server to all its slots
	Typical  Duration         `toml:"typical"`          // time of a request in a slot until one is measured
	Bytes    int64            `toml:"bytes"`            // size of a typical answer
	Queue    int              `toml:"queue"`            // waiting requests per slot, for each rank
	Shed     []int            `toml:"shed"`             // statuses by which a server says that it did not run a request
	Keep     Duration         `toml:"keep"`             // time for which the outcome of an Idempotency-Key is kept
	Placing  Placing          `toml:"placing"`
	Cold     Duration         `toml:"cold"`      // time after its start in which a server gets only ColdRate
	ColdRate float64          `toml:"cold_rate"` // requests per second to a cold server from all entry VMs
	Retries  Percent          `toml:"retries"`   // further sends per first send, over all entry VMs
	Rules    []Rule           `toml:"rule"`
}

// Placing is which VM chooses the backend server of a request.
type Placing string

// The kinds of placing.
const (
	PlacingOwner Placing = "owner" // the VM that owns the service in the failure domain grants slots
	PlacingEntry Placing = "entry" // each entry VM chooses among the servers of all failure domains
)

// Rule gives the rank of requests by method and path prefix, and whether they may
// be repeated.
type Rule struct {
	Method string `toml:"method"` // "*" for all methods
	Path   string `toml:"path"`   // prefix, in whole path elements
	Rank   string `toml:"rank"`
	Once   bool   `toml:"once"` // runs at most once for each Idempotency-Key
}

// Ranks holds the ranks of requests.
type Ranks struct {
	Ranks []Rank `toml:"rank"`
}

// Rank is a priority class of requests; a higher worth is served first.
type Rank struct {
	Name   string   `toml:"name"`
	Worth  float64  `toml:"worth"`  // of one served request, relative to other ranks
	Floor  Percent  `toml:"floor"`  // share of the capacity that the rank can always use
	Target Duration `toml:"target"` // default time limit of requests under rules; 0 means the service's Target
}

// Stops holds the planned stops.
type Stops struct {
	Stops []Stop `toml:"stop"`
}

// Stop is a planned stop of one backend server, VM, failure domain or region.
type Stop struct {
	Name  string    `toml:"name"`
	Kind  StopKind  `toml:"kind"`
	What  string    `toml:"what"` // id of the server or VM, or name of the domain or region
	Begin time.Time `toml:"begin"`
	End   time.Time `toml:"end"`
}

// StopKind is the kind of object that a planned stop names.
type StopKind string

// The kinds of planned stop.
const (
	StopUpstream StopKind = "upstream" // a backend server
	StopVM       StopKind = "vm"
	StopDomain   StopKind = "domain"
	StopRegion   StopKind = "region"
)

// Default values of optional keys.
const (
	defaultTarget   = PositiveDuration(2 * time.Second)
	defaultCap      = Percent(0.25)
	defaultHeadroom = Percent(0.1)
	defaultInterval = Duration(5 * time.Second)
	defaultWarm     = Duration(5 * time.Second)
	defaultTypical  = Duration(50 * time.Millisecond)
	defaultBytes    = 16 << 10 // bytes of a typical answer
	defaultQueue    = 8        // waiting requests per slot
	defaultKeep     = Duration(24 * time.Hour)
	defaultRetries  = Percent(0.1)
)

// FillDefaults sets the optional keys that the sections leave out.
func (d *Document) FillDefaults() {
	for i := range d.Services.Services {
		d.Services.Services[i].fillDefaults()
	}
	d.Routes.fillDefaults()
	d.Customers.fillDefaults()
}

func (s *Service) fillDefaults() {
	if s.Target == 0 {
		s.Target = defaultTarget
	}
	if s.Cap == 0 {
		s.Cap = defaultCap
	}
	if s.Headroom == 0 {
		s.Headroom = defaultHeadroom
	}
	if s.Interval == 0 {
		s.Interval = defaultInterval
	}
	if s.Warm == 0 {
		s.Warm = defaultWarm
	}
	if s.Typical == 0 {
		s.Typical = defaultTypical
	}
	if s.Bytes == 0 {
		s.Bytes = defaultBytes
	}
	if s.Queue == 0 {
		s.Queue = defaultQueue
	}
	if s.Keep == 0 {
		s.Keep = defaultKeep
	}
	if s.Placing == "" {
		s.Placing = PlacingOwner
	}
	if s.Retries == 0 {
		s.Retries = defaultRetries
	}
}

// Active reports whether the stop is in force at the given time.
func (s Stop) Active(now time.Time) bool {
	return !now.Before(s.Begin) && now.Before(s.End)
}
