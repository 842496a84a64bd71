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

// Size is the size of a fleet.
type Size struct {
	Domains      int
	VMsPerDomain int // VMs
	Replicas     int // replicas
	Services     int
	Places       int
	Servers      int // backend servers of each service in each domain
}

// VMs returns the number of VMs.
func (s Size) VMs() int { return s.Domains * s.VMsPerDomain }

const (
	tick       = 50 * time.Millisecond
	announce   = 500 * time.Millisecond
	nearDelay  = time.Millisecond
	farDelay   = 20 * time.Millisecond
	syncDelay  = 2 * time.Millisecond
	regions    = 4
	settleTime = 24 * time.Second // greetings of the start are over
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

// Cost is what one VM spent.
type Cost struct {
	Messages int
	Bytes    int64
	Busy     time.Duration
	Events   int
}

// Fleet is a running fleet of reducers.
type Fleet struct {
	Size Size

	time   *virtual.Clock
	vms    []*vm
	byPeer map[string]*vm
	parsed *document.Document
	blocks *plan.Blocks
}

type vm struct {
	settings reducer.Settings
	state    *reducer.State
	disk     *quorum.DurableState
	cost     Cost
	wires    map[string]*wire
	lead     bool
	document ledger.Position
	loadedAt time.Time
}

// wire counts the bytes of one connection; type descriptions count once.
type wire struct {
	encoder *gob.Encoder
	bytes   int64
}

// Write implements io.Writer.
func (w *wire) Write(data []byte) (int, error) {
	w.bytes += int64(len(data))
	return len(data), nil
}

// New starts a fleet with its document in force.
func New(size Size) (*Fleet, error) {
	f := &Fleet{Size: size, time: virtual.New(epoch), byPeer: make(map[string]*vm)}
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
			if err := f.add(d, i, replicas, seeds); err != nil {
				return nil, err
			}
		}
	}
	for i, vm := range f.vms {
		f.tickLater(vm, time.Duration(i)*tick/time.Duration(len(f.vms)))
	}
	f.Run(3 * time.Second)
	f.load()
	f.Run(settleTime)
	return f, nil
}

func vmName(domain, number int) string { return fmt.Sprintf("d%02d-%03d", domain, number) }

func domainName(domain int) string { return fmt.Sprintf("d%02d", domain) }

func regionName(domain int) string { return fmt.Sprint("r", domain%regions) }

func (f *Fleet) add(domain, number int, replicas []quorum.Replica, seeds []string) error {
	id := vmName(domain, number)
	added := &vm{wires: make(map[string]*wire), settings: reducer.Settings{
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
			added.settings.Control = true
			added.disk = &quorum.DurableState{Snapshot: quorum.Snapshot{Config: quorum.Config{Voters: replicas}}}
		}
	}
	state, err := reducer.New(added.settings, added.disk, f.time.Now())
	if err != nil {
		return err
	}
	added.state = state
	f.vms = append(f.vms, added)
	f.byPeer[id] = added
	return nil
}

func (f *Fleet) tickLater(v *vm, wait time.Duration) {
	f.time.Schedule(wait, func() {
		f.apply(v, reducer.Tick{})
		f.tickLater(v, tick)
	})
}

// apply measures the time in the reducer; the cost of encoding is not in it.
func (f *Fleet) apply(v *vm, event reducer.Event) {
	began := time.Now()
	effects := v.state.Apply(f.time.Now(), event)
	v.cost.Busy += time.Since(began)
	v.cost.Events++
	for _, effect := range effects {
		f.carryOut(v, effect)
	}
}

func (f *Fleet) carryOut(v *vm, effect reducer.Effect) {
	switch e := effect.(type) {
	case reducer.Transmit:
		f.transmit(v, e)
	case reducer.SaveLog:
		f.time.Schedule(syncDelay, func() {
			v.disk.ApplySave(e.Save)
			for _, message := range e.Save.Then {
				f.transmit(v, reducer.Transmit{Peer: string(message.To), Message: reducer.Message{Quorum: &message}})
			}
			f.apply(v, reducer.LogSaved{Sequence: e.Save.Sequence})
		})
	case reducer.LoadDocument:
		f.loaded(v, e)
	case reducer.Log:
		if e.Code == reducer.CodeRoleChanged {
			v.lead = e.Detail == quorum.RoleLeader.String()
		}
	}
}

func (f *Fleet) transmit(v *vm, e reducer.Transmit) {
	to := f.byPeer[e.Peer]
	if to == nil {
		return
	}
	w := v.wires[e.Peer]
	if w == nil {
		w = &wire{}
		w.encoder = gob.NewEncoder(w)
		v.wires[e.Peer] = w
	}
	before := w.bytes
	if err := w.encoder.Encode(peerrpc.Batch{Messages: []reducer.Message{e.Message}}); err == nil {
		const framing = 30 // bytes of the call's header
		v.cost.Bytes += w.bytes - before + framing
	}
	v.cost.Messages++
	delay := farDelay
	if to.settings.Region == v.settings.Region {
		delay = nearDelay
	}
	f.time.Schedule(delay, func() { f.apply(to, reducer.Received{Message: e.Message}) })
}

// loaded hands every VM the same parsed document: only the text differs by
// change, and parsing is measured apart.
func (f *Fleet) loaded(v *vm, e reducer.LoadDocument) {
	for _, section := range e.Sections {
		if section.Version == 0 && slices.Contains(loadSections, section.Name) {
			return
		}
	}
	f.time.Schedule(time.Millisecond, func() {
		v.document, v.loadedAt = e.Position, f.time.Now()
		f.apply(v, reducer.DocumentLoaded{Position: e.Position, Document: f.parsed, Blocks: f.blocks})
	})
}

// Run lets virtual time pass.
func (f *Fleet) Run(length time.Duration) {
	f.time.RunUntil(f.time.Now().Add(length))
}

// loadSections are the sections that a document must have.
var loadSections = []document.Section{document.SectionPlaces, document.SectionRanks, document.SectionServices}

// load writes the document and announces servers.
func (f *Fleet) load() {
	f.build()
	f.blocks = plan.NewBlocks(f.parsed.Places.Places)
	for i, section := range loadSections {
		f.Change(section, 0, fmt.Sprint("first-", i), []byte("# "+string(section)+"\n"))
		f.Run(2 * time.Second)
	}
	for _, v := range f.vms {
		f.announceLater(v)
	}
}

func (f *Fleet) build() {
	d := &document.Document{}
	for i := range min(regions, f.Size.Domains) {
		d.Places.Regions = append(d.Places.Regions, document.Region{Name: regionName(i)})
	}
	for i := range f.Size.Domains {
		d.Places.Domains = append(d.Places.Domains, document.Domain{Name: domainName(i), Region: regionName(i)})
	}
	for i := range f.Size.Places {
		block := netip.PrefixFrom(netip.AddrFrom4([4]byte{10, byte(i), 0, 0}), 16)
		d.Places.Places = append(d.Places.Places, document.Place{Name: fmt.Sprint("p", i), Region: regionName(i % min(regions, f.Size.Domains)), Blocks: []netip.Prefix{block}})
	}
	d.Ranks.Ranks = []document.Rank{{Name: "paying", Worth: 10, Floor: 0.3}, {Name: "reserving", Worth: 5, Floor: 0.2}, {Name: "browsing", Worth: 1, Floor: 0.1}}
	for i := range f.Size.Services {
		d.Services.Services = append(d.Services.Services, document.Service{Name: fmt.Sprint("s", i), Rules: []document.Rule{{Method: "*", Path: "/", Rank: "browsing"}}})
	}
	d.FillDefaults()
	f.parsed = d
}

// announceLater gives each domain its backend servers, spread over its VMs; the
// owner gets each announcement as after forwarding.
func (f *Fleet) announceLater(v *vm) {
	f.time.Schedule(announce, func() {
		number := 0
		fmt.Sscanf(v.settings.VM[4:], "%d", &number)
		for service := range f.Size.Services {
			for i := number; i < f.Size.Servers; i += f.Size.VMsPerDomain {
				f.announce(v, fmt.Sprint("s", service), i)
			}
		}
		f.announceLater(v)
	})
}

func (f *Fleet) announce(v *vm, service string, number int) {
	event := reducer.ServerAnnounced{Announcement: routing.Announcement{
		ID:          fmt.Sprintf("%s-%s-%d", v.settings.Domain, service, number),
		Address:     "10.0.0.9:9000",
		Service:     service,
		Slots:       4,
		Connections: 360,
		State:       routing.StateServing,
	}}
	for _, owner := range f.vms {
		if owner.settings.Domain == v.settings.Domain {
			event.Forwarded = true
			f.apply(owner, event)
		}
	}
}

// Change proposes a change at the leader.
func (f *Fleet) Change(section document.Section, base uint64, id string, text []byte) {
	leader := f.leader()
	if leader == nil {
		return
	}
	put := &ledger.Put{Section: section, Base: base, ChangeID: id, Text: text}
	put.Checked = f.versions()
	put.Checked.Set(section, base)
	f.apply(leader, reducer.Propose{Command: ledger.Command{Put: put}})
}

func (f *Fleet) leader() *vm {
	for _, v := range f.vms {
		if v.lead {
			return v
		}
	}
	return nil
}

// versions follows the sections that the leader holds.
func (f *Fleet) versions() ledger.Versions {
	if leader := f.leader(); leader != nil {
		return leader.state.Versions()
	}
	return ledger.Versions{}
}
