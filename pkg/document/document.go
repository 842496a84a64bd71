package document

import (
	"net/netip"
	"slices"
	"time"
)

// Section names one part of the steering document.
type Section string

// The sections, in the order in which they are checked.
const (
	SectionPlaces   Section = "places"
	SectionServices Section = "services"
	SectionRanks    Section = "ranks"
	SectionStops    Section = "stops"
	SectionRoutes   Section = "routes"
	SectionClosures Section = "closures"
)

// Written lists the sections that teams write, in checking order.
func Written() []Section {
	return []Section{SectionPlaces, SectionServices, SectionRanks, SectionStops, SectionRoutes}
}

// Sections lists every section name in checking order.
func Sections() []Section { return append(Written(), SectionClosures) }

// Known reports whether the section is one that teams write.
func (s Section) Known() bool { return slices.Contains(Written(), s) }

// Limits on what one section may hold.
const (
	MaxSectionBytes = 32 << 20 // bytes of TOML
	MaxBlocks       = 1 << 20  // client blocks in all places
	MaxEntries      = 4096     // regions, domains, places, services, ranks or stops
	MaxNameBytes    = 64       // bytes of a name
)

// Document is the whole steering document after parsing.
type Document struct {
	Places   Places
	Services Services
	Ranks    Ranks
	Stops    Stops
	Routes   Routes
	Closures Closures
}

// Places holds the sites, their links and the blocks of clients near them.
type Places struct {
	Regions   []Region  `toml:"region"`
	Domains   []Domain  `toml:"domain"`
	Latencies []Latency `toml:"latency"`
	Links     []Link    `toml:"link"`
	Places    []Place   `toml:"place"`
}

// Region is a group of failure domains with a shared link to other regions.
type Region struct {
	Name string `toml:"name"`
}

// Domain is a failure domain inside a region.
type Domain struct {
	Name   string `toml:"name"`
	Region string `toml:"region"`
}

// Latency is the one-way delay between two regions, the same in both directions.
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

// Place is a group of client blocks with one home region.
type Place struct {
	Name   string         `toml:"name"`
	Region string         `toml:"region"`
	OneWay Duration       `toml:"oneway"`
	Blocks []netip.Prefix `toml:"blocks"`
}

// Services holds the services and their rules.
type Services struct {
	Services []Service `toml:"service"`
}

// Service is a group of backend servers that answer the same hosts.
type Service struct {
	Name     string           `toml:"name"`
	Hosts    []string         `toml:"hosts"`
	Regions  []string         `toml:"regions"`
	Target   PositiveDuration `toml:"target,omitempty"`
	Headroom Percent          `toml:"headroom"`
	Cap      Percent          `toml:"cap"`
	Interval Duration         `toml:"interval"`
	Warm     Duration         `toml:"warm"`
	Typical  Duration         `toml:"typical"`
	Bytes    int64            `toml:"bytes"`
	Queue    int              `toml:"queue"`
	Shed     []int            `toml:"shed"`
	Keep     Duration         `toml:"keep"`
	Placing  Placing          `toml:"placing"`
	Cold     Duration         `toml:"cold"`      // after its start a server takes only ColdRate
	ColdRate float64          `toml:"cold_rate"` // requests per second of a cold server, over all entries
	Retries  Percent          `toml:"retries"`   // further sends per first send, over all entries
	Rules    []Rule           `toml:"rule"`
}

// Placing tells which VM chooses the server of a request.
type Placing string

// The ways of placing.
const (
	PlacingOwner Placing = "owner" // the owner of the service in the failure domain grants slots
	PlacingEntry Placing = "entry" // each entry chooses among the servers of all failure domains
)

// Rule gives the rank and repeatability of requests by method and path prefix.
type Rule struct {
	Method string `toml:"method"`
	Path   string `toml:"path"`
	Rank   string `toml:"rank"`
	Once   bool   `toml:"once"`
}

// Ranks holds the ranks of work.
type Ranks struct {
	Ranks []Rank `toml:"rank"`
}

// Rank is a class of work; a higher worth is served first.
type Rank struct {
	Name   string   `toml:"name"`
	Worth  float64  `toml:"worth"`
	Floor  Percent  `toml:"floor"`
	Target Duration `toml:"target"`
}

// Stops holds the planned stops.
type Stops struct {
	Stops []Stop `toml:"stop"`
}

// Stop is a planned stop of one upstream, VM, failure domain or region.
type Stop struct {
	Name  string    `toml:"name"`
	Kind  StopKind  `toml:"kind"`
	What  string    `toml:"what"`
	Begin time.Time `toml:"begin"`
	End   time.Time `toml:"end"`
}

// StopKind tells what a planned stop names.
type StopKind string

// The kinds of planned stop.
const (
	StopUpstream StopKind = "upstream"
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

// FillDefaults sets the optional keys that a section left out.
func (d *Document) FillDefaults() {
	for i := range d.Services.Services {
		d.Services.Services[i].fillDefaults()
	}
	d.Routes.fillDefaults()
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

// Active reports whether the stop is in force at the time.
func (s Stop) Active(now time.Time) bool {
	return !now.Before(s.Begin) && now.Before(s.End)
}
