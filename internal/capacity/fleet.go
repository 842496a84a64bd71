package capacity

import (
	"encoding/gob"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/heatherwood/heatherwood/internal/ledger"
	"github.com/heatherwood/heatherwood/internal/peerrpc"
	"github.com/heatherwood/heatherwood/internal/plan"
	"github.com/heatherwood/heatherwood/internal/quorum"
	"github.com/heatherwood/heatherwood/internal/reducer"
	"github.com/heatherwood/heatherwood/internal/routing"
	"github.com/heatherwood/heatherwood/internal/virtual"
	"github.com/heatherwood/heatherwood/pkg/document"
)

// Size describes the dimensions of a fleet.
type Size struct {
	Domains      int
	VMsPerDomain int
	Replicas     int // of the control log, spread over the domains
	Services     int
	Places       int // of callers, with one /16 block each
	Servers      int // backend servers of each service in each domain
	EntryLink    int // bytes a second each way on the link of a VM without a control replica; 0 means no limit
}

// VMs returns the number of VMs.
func (s Size) VMs() int { return s.Domains * s.VMsPerDomain }

const (
	tickInterval     = 50 * time.Millisecond
	announceInterval = 500 * time.Millisecond
	sameRegionDelay  = time.Millisecond
	crossRegionDelay = 20 * time.Millisecond
	syncDelay        = 2 * time.Millisecond
	regionCount      = 4
	settleDuration   = 24 * time.Second // by then the greetings exchanged at startup are over
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Role is what a VM does in the fleet.
type Role string

// The roles.
const (
	RoleLeader  Role = "control leader"
	RoleControl Role = "control replica"
	RoleRelay   Role = "domain relay"
	RoleEntry   Role = "entry"
)

// Cost is what one VM has sent, received and computed since the last reset.
type Cost struct {
	Messages      int   // sent
	Bytes         int64 // sent
	ReceivedBytes int64
	ReducerTime   time.Duration
	Events        int // applied by the reducer
}

// Fleet runs the reducers of all VMs in virtual time.
type Fleet struct {
	Size Size

	clock    *virtual.Clock
	vms      []*vm
	byPeer   map[string]*vm // by peer address
	document *document.Document
	blocks   *plan.Blocks
	lastCall uint64            // of a proposal
	answers  map[uint64]answer // to proposals, by call
	deaths   []death

	blocked  func(from, to *vm) bool     // whether messages between two VMs are lost; nil for none
	handlers map[uint64]func(answer any) // of answers to other events, by call
}

// answer is the answer to a proposal.
type answer struct {
	at     time.Time
	result reducer.ProposalResult
}

// death is the report of one VM that another one of its failure domain is dead.
type death struct {
	at           time.Time
	observer, vm string
}

// vm is one simulated VM.
type vm struct {
	settings         reducer.Settings
	state            *reducer.State
	disk             *quorum.DurableState
	cost             Cost
	connections      map[string]*connection // by peer address
	isLeader         bool
	documentPosition ledger.Position
	documentLoadedAt time.Time
	sections         []ledger.Section // of the document in force
	loads            []load
	outgoing         link
	incoming         link
	cutOff           bool // messages from and to this VM are lost
}

// load records which sections came into force on a VM.
type load struct {
	at       time.Time
	versions ledger.Versions
}

// link is one direction of a VM's link. It carries one message after the other.
type link struct {
	freeAt    time.Time
	busySince time.Time     // end of the last pause
	longest   time.Duration // between two pauses
}

// carry appends a message to those that wait for the link, and returns how long
// it takes until the message has passed it; a rate of 0 means no limit.
func (l *link) carry(now time.Time, bytes int64, rate int) time.Duration {
	if rate == 0 {
		return 0
	}
	if now.After(l.freeAt) {
		l.freeAt, l.busySince = now, now
	}
	l.freeAt = l.freeAt.Add(time.Duration(bytes) * time.Second / time.Duration(rate))
	l.longest = max(l.longest, l.freeAt.Sub(l.busySince))
	return l.freeAt.Sub(now)
}

// connection counts the bytes sent on one connection. As on a real one, gob
// sends each type description once.
type connection struct {
	encoder *gob.Encoder
	bytes   int64
}

// Write implements io.Writer.
func (c *connection) Write(data []byte) (int, error) {
	c.bytes += int64(len(data))
	return len(data), nil
}

// New starts a fleet and runs it until its document is in force and the greetings
// exchanged at startup are over.
func New(size Size) (*Fleet, error) {
	f := &Fleet{Size: size, clock: virtual.New(epoch), byPeer: make(map[string]*vm), answers: make(map[uint64]answer), handlers: make(map[uint64]func(any))}
	var replicas []quorum.Replica
	var seeds []string
	for i := range size.Replicas {
		id := vmName(i%size.Domains, i/size.Domains)
		replicas = append(replicas, quorum.Replica{ID: quorum.ID(id), Address: id})
	}
	for d := range size.Domains {
		seeds = append(seeds, vmName(d, 0))
	}
	for d := range size.Domains {
		for i := range size.VMsPerDomain {
			if err := f.addVM(d, i, replicas, seeds); err != nil {
				return nil, err
			}
		}
	}
	for i, v := range f.vms {
		f.scheduleTick(v, time.Duration(i)*tickInterval/time.Duration(len(f.vms)))
	}
	f.Run(3 * time.Second)
	f.setUp()
	f.Run(settleDuration)
	return f, nil
}

func vmName(domain, index int) string { return fmt.Sprintf("d%02d-%03d", domain, index) }

func domainName(domain int) string { return fmt.Sprintf("d%02d", domain) }

func regionName(domain int) string { return fmt.Sprint("r", domain%regionCount) }

func (f *Fleet) addVM(domain, index int, replicas []quorum.Replica, seeds []string) error {
	id := vmName(domain, index)
	v := &vm{connections: make(map[string]*connection), settings: reducer.Settings{
		VM:          id,
		Peer:        id,
		Entry:       "10.0.0.1:8080",
		Domain:      domainName(domain),
		Region:      regionName(domain),
		Seeds:       seeds,
		Replicas:    replicas,
		Incarnation: 1,
	}}
	for _, replica := range replicas {
		if string(replica.ID) == id {
			v.settings.Control = true
			v.disk = &quorum.DurableState{Snapshot: quorum.Snapshot{Config: quorum.Config{Voters: replicas}}}
		}
	}
	state, err := reducer.New(v.settings, v.disk, f.clock.Now())
	if err != nil {
		return err
	}
	v.state = state
	f.vms = append(f.vms, v)
	f.byPeer[id] = v
	return nil
}

func (f *Fleet) scheduleTick(v *vm, delay time.Duration) {
	f.clock.Schedule(delay, func() {
		f.apply(v, reducer.Tick{})
		f.scheduleTick(v, tickInterval)
	})
}

// apply passes an event to the VM's reducer and carries out the effects. The
// time in the reducer is measured without that of encoding messages.
func (f *Fleet) apply(v *vm, event reducer.Event) {
	startedAt := time.Now()
	effects := v.state.Apply(f.clock.Now(), event)
	v.cost.ReducerTime += time.Since(startedAt)
	v.cost.Events++
	for _, effect := range effects {
		f.applyEffect(v, effect)
	}
}

// applyEffect carries out an effect that the reducer returned.
func (f *Fleet) applyEffect(v *vm, effect reducer.Effect) {
	switch e := effect.(type) {
	case reducer.Transmit:
		f.transmit(v, e)
	case reducer.SaveLog:
		f.clock.Schedule(syncDelay, func() {
			v.disk.ApplySave(e.Save)
			for _, message := range e.Save.Then {
				f.transmit(v, reducer.Transmit{Peer: string(message.To), Message: reducer.Message{Quorum: &message}})
			}
			f.apply(v, reducer.LogSaved{Sequence: e.Save.Sequence})
		})
	case reducer.LoadDocument:
		f.loadDocument(v, e)
	case reducer.Answer:
		if result, ok := e.Value.(reducer.ProposalResult); ok {
			f.answers[e.Call] = answer{at: f.clock.Now(), result: result}
		}
		if handle := f.handlers[e.Call]; handle != nil {
			handle(e.Value)
		}
	case reducer.Log:
		switch e.Code {
		case reducer.CodeRoleChanged:
			v.isLeader = e.Detail == quorum.RoleLeader.String()
		case reducer.CodeVMDied:
			f.deaths = append(f.deaths, death{at: f.clock.Now(), observer: v.settings.VM, vm: e.Detail})
		}
	}
}

// transmit counts a message and delivers it once it has passed the links of both
// VMs and the one-way latency is over.
func (f *Fleet) transmit(v *vm, e reducer.Transmit) {
	to := f.byPeer[e.Peer]
	if to == nil || f.lost(v, to) {
		return
	}
	c := v.connections[e.Peer]
	if c == nil {
		c = &connection{}
		c.encoder = gob.NewEncoder(c)
		v.connections[e.Peer] = c
	}
	bytesBefore, size := c.bytes, int64(0)
	if err := c.encoder.Encode(peerrpc.Batch{Messages: []reducer.Message{e.Message}}); err == nil {
		const framing = 30 // bytes of the RPC header
		size = c.bytes - bytesBefore + framing
		v.cost.Bytes += size
	}
	v.cost.Messages++
	delay := crossRegionDelay
	if to.settings.Region == v.settings.Region {
		delay = sameRegionDelay
	}
	deliver := func() {
		if f.lost(v, to) {
			return
		}
		to.cost.ReceivedBytes += size
		f.apply(to, reducer.Received{Message: e.Message})
	}
	delay += v.outgoing.carry(f.clock.Now(), size, f.linkRate(v))
	f.clock.Schedule(delay, func() {
		wait := to.incoming.carry(f.clock.Now(), size, f.linkRate(to))
		if wait == 0 {
			deliver()
			return
		}
		f.clock.Schedule(wait, deliver)
	})
}

// lost reports whether messages from one VM to another are lost now.
func (f *Fleet) lost(from, to *vm) bool {
	return from.cutOff || to.cutOff || f.blocked != nil && f.blocked(from, to)
}

// linkRate returns the rate of a VM's link in bytes a second; 0 means no limit.
func (f *Fleet) linkRate(v *vm) int {
	if v.settings.Control {
		return 0
	}
	return f.Size.EntryLink
}

// loadDocument gives every VM the same parsed document, since a change here
// alters only the text. The cost of parsing is measured separately.
func (f *Fleet) loadDocument(v *vm, e reducer.LoadDocument) {
	for _, section := range e.Sections {
		if section.Version == 0 && slices.Contains(requiredSections, section.Name) {
			return
		}
	}
	f.clock.Schedule(time.Millisecond, func() {
		v.documentPosition, v.documentLoadedAt = e.Position, f.clock.Now()
		v.sections = e.Sections
		loaded := load{at: f.clock.Now()}
		for _, section := range e.Sections {
			loaded.versions.Set(section.Name, section.Version)
		}
		v.loads = append(v.loads, loaded)
		f.apply(v, reducer.DocumentLoaded{Position: e.Position, Document: f.document, Blocks: f.blocks})
	})
}

// Run advances virtual time.
func (f *Fleet) Run(length time.Duration) {
	f.clock.RunUntil(f.clock.Now().Add(length))
}

// requiredSections lists the sections that a document must have.
var requiredSections = []document.Section{document.SectionPlaces, document.SectionRanks, document.SectionServices}

// setUp writes the required sections and starts the announcements of servers.
func (f *Fleet) setUp() {
	f.buildDocument()
	f.blocks = plan.NewBlocks(f.document.Places.Places)
	for i, section := range requiredSections {
		f.ProposeChange(section, 0, fmt.Sprint("first-", i), []byte("# "+string(section)+"\n"))
		f.Run(2 * time.Second)
	}
	for _, v := range f.vms {
		f.scheduleAnnouncements(v)
	}
}

// buildDocument creates a document of the fleet's size.
func (f *Fleet) buildDocument() {
	d := &document.Document{}
	for i := range min(regionCount, f.Size.Domains) {
		d.Places.Regions = append(d.Places.Regions, document.Region{Name: regionName(i)})
	}
	for i := range f.Size.Domains {
		d.Places.Domains = append(d.Places.Domains, document.Domain{Name: domainName(i), Region: regionName(i)})
	}
	for i := range f.Size.Places {
		block := netip.PrefixFrom(netip.AddrFrom4([4]byte{10, byte(i), 0, 0}), 16)
		d.Places.Places = append(d.Places.Places, document.Place{Name: fmt.Sprint("p", i), Region: regionName(i % min(regionCount, f.Size.Domains)), Blocks: []netip.Prefix{block}})
	}
	d.Ranks.Ranks = []document.Rank{{Name: "paying", Worth: 10, Floor: 0.3}, {Name: "reserving", Worth: 5, Floor: 0.2}, {Name: "browsing", Worth: 1, Floor: 0.1}}
	for i := range f.Size.Services {
		d.Services.Services = append(d.Services.Services, document.Service{Name: fmt.Sprint("s", i), Rules: []document.Rule{{Method: "*", Path: "/", Rank: "browsing"}}})
	}
	d.FillDefaults()
	f.document = d
}

// scheduleAnnouncements repeats the announcements of the servers that announce
// themselves at a VM. The servers of a domain are spread over its VMs.
func (f *Fleet) scheduleAnnouncements(v *vm) {
	f.clock.Schedule(announceInterval, func() {
		index := 0
		fmt.Sscanf(v.settings.VM[4:], "%d", &index)
		for service := range f.Size.Services {
			for i := index; i < f.Size.Servers; i += f.Size.VMsPerDomain {
				f.announceServer(v, fmt.Sprint("s", service), i)
			}
		}
		f.scheduleAnnouncements(v)
	})
}

// announceServer passes an announcement to all VMs of the domain as a forwarded
// one, so that the owner of the service gets it.
func (f *Fleet) announceServer(v *vm, service string, index int) {
	event := reducer.ServerAnnounced{Announcement: routing.Announcement{
		ID:          fmt.Sprintf("%s-%s-%d", v.settings.Domain, service, index),
		Address:     "10.0.0.9:9000",
		Service:     service,
		Slots:       4,
		Connections: 360,
		State:       routing.StateServing,
	}}
	for _, other := range f.vms {
		if other.settings.Domain == v.settings.Domain {
			event.Forwarded = true
			f.apply(other, event)
		}
	}
}

// ProposeChange proposes a change of a section at the leader; it does nothing
// without one.
func (f *Fleet) ProposeChange(section document.Section, base uint64, id string, text []byte) {
	put := &ledger.Put{Section: section, Base: base, ChangeID: id, Text: text}
	put.Checked = f.leaderVersions()
	put.Checked.Set(section, base)
	f.propose(ledger.Command{Put: put})
}

// propose proposes a command at the leader and returns the call that its answer
// names; without a leader there is no answer.
func (f *Fleet) propose(command ledger.Command) uint64 {
	f.lastCall++
	call := f.lastCall
	if leader := f.leader(); leader != nil {
		f.apply(leader, reducer.Propose{Call: call, Command: command})
	}
	return call
}

// leader returns the leader of the control log, or nil without one.
func (f *Fleet) leader() *vm {
	for _, v := range f.vms {
		if v.isLeader {
			return v
		}
	}
	return nil
}

// leaderVersions returns the section versions that the leader holds.
func (f *Fleet) leaderVersions() ledger.Versions {
	if leader := f.leader(); leader != nil {
		return leader.state.Versions()
	}
	return ledger.Versions{}
}
