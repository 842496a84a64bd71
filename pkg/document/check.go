package document

import (
	"fmt"
	"net/http"
	"net/netip"
	"regexp"
	"strings"
	"time"
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)

var methodPattern = regexp.MustCompile(`^(\*|[A-Z]+)$`)

// Bounds on values, shown in messages and in docs/operators/document.md.
const (
	minInterval = 100 * time.Millisecond
	maxInterval = 10 * time.Minute
	maxTarget   = 10 * time.Minute
	maxQueue    = 1024 // waiting requests per slot
	maxHeadroom = 0.9
)

// checker finds what the types alone cannot rule out, across all sections.
type checker struct {
	document *Document
	locators map[Section]*locator
	messages Messages
	regions  map[string]bool
	domains  map[string]bool
	services map[string]bool
	ranks    map[string]bool
}

func newChecker(document *Document, locators map[Section]*locator) *checker {
	return &checker{
		document: document,
		locators: locators,
		regions:  make(map[string]bool),
		domains:  make(map[string]bool),
		services: make(map[string]bool),
		ranks:    make(map[string]bool),
	}
}

func (c *checker) check() {
	c.checkPlaces()
	c.checkRanks()
	c.checkServices()
	c.checkStops()
	c.checkRoutes()
}

func (c *checker) add(section Section, path, note, format string, args ...any) {
	c.messages = append(c.messages, c.locators[section].message(path, note, format, args...))
}

// name checks the form of a name and that it is new within its kind.
func (c *checker) name(section Section, kind, path, name string, seen map[string]bool) {
	path += ".name"
	if !namePattern.MatchString(name) || len(name) > MaxNameBytes {
		c.add(section, path, "use 1 to 64 of a-z, 0-9 and \"-\"; begin and end with a letter or digit", "%s name %q is not valid", kind, name)
		return
	}
	if seen[name] {
		c.add(section, path, "give each "+kind+" a name of its own", "%s %q is declared twice", kind, name)
	}
	seen[name] = true
}

// reference checks that a name was declared.
func (c *checker) reference(section Section, kind, path, name string, known map[string]bool) {
	if known[name] {
		return
	}
	c.add(section, path, "known "+kind+" names: "+listNames(known), "%s %q does not exist", kind, name)
}

func listNames(known map[string]bool) string {
	if len(known) == 0 {
		return "none"
	}
	const most = 8
	names := sortedKeys(known)
	if len(names) > most {
		return strings.Join(names[:most], ", ") + ", ..."
	}
	return strings.Join(names, ", ")
}

func (c *checker) count(section Section, path string, n int) {
	if n > MaxEntries {
		c.add(section, path, fmt.Sprintf("keep at most %d", MaxEntries), "%d entries are too many", n)
	}
}

func (c *checker) checkPlaces() {
	places := &c.document.Places
	c.count(SectionPlaces, "region[0]", len(places.Regions))
	c.count(SectionPlaces, "domain[0]", len(places.Domains))
	c.count(SectionPlaces, "place[0]", len(places.Places))
	for i, region := range places.Regions {
		c.name(SectionPlaces, "region", fmt.Sprintf("region[%d]", i), region.Name, c.regions)
	}
	for i, domain := range places.Domains {
		path := fmt.Sprintf("domain[%d]", i)
		c.name(SectionPlaces, "domain", path, domain.Name, c.domains)
		c.reference(SectionPlaces, "region", path+".region", domain.Region, c.regions)
	}
	for i, latency := range places.Latencies {
		path := fmt.Sprintf("latency[%d]", i)
		c.reference(SectionPlaces, "region", path+".from", latency.From, c.regions)
		c.reference(SectionPlaces, "region", path+".to", latency.To, c.regions)
	}
	for i, link := range places.Links {
		path := fmt.Sprintf("link[%d]", i)
		c.reference(SectionPlaces, "region", path+".from", link.From, c.regions)
		c.reference(SectionPlaces, "region", path+".to", link.To, c.regions)
		if link.Limit <= 0 {
			c.add(SectionPlaces, path, "add limit = \"4Gbit/s\"", "link has no limit")
		}
	}
	c.checkBlocks()
}

func (c *checker) checkBlocks() {
	names := make(map[string]bool)
	total := 0
	for i, place := range c.document.Places.Places {
		path := fmt.Sprintf("place[%d]", i)
		c.name(SectionPlaces, "place", path, place.Name, names)
		c.reference(SectionPlaces, "region", path+".region", place.Region, c.regions)
		total += len(place.Blocks)
	}
	if total > MaxBlocks {
		c.add(SectionPlaces, "place[0]", fmt.Sprintf("keep at most %d", MaxBlocks), "%d blocks are too many", total)
		return
	}
	owners := make(map[netip.Prefix]int, total)
	for i, place := range c.document.Places.Places {
		for j, block := range place.Blocks {
			c.checkBlock(i, j, block, owners)
		}
	}
}

// checkBlock checks one block and notes its place.
func (c *checker) checkBlock(place, number int, block netip.Prefix, owners map[netip.Prefix]int) {
	masked := block.Masked()
	if block != masked {
		c.add(SectionPlaces, blockPath(place, number), "write "+masked.String(), "block %s has bits set after its prefix", block)
	}
	if owner, taken := owners[masked]; taken {
		name := c.document.Places.Places[owner].Name
		c.add(SectionPlaces, blockPath(place, number), "keep it in one place", "block %s is already in place %q", masked, name)
	}
	owners[masked] = place
}

func blockPath(place, number int) string {
	return fmt.Sprintf("place[%d].blocks[%d]", place, number)
}

func (c *checker) checkRanks() {
	var floors Percent
	c.count(SectionRanks, "rank[0]", len(c.document.Ranks.Ranks))
	for i, rank := range c.document.Ranks.Ranks {
		path := fmt.Sprintf("rank[%d]", i)
		c.name(SectionRanks, "rank", path, rank.Name, c.ranks)
		if !(rank.Worth > 0) {
			c.add(SectionRanks, path+".worth", "give the worth of one served request, such as 10.0", "worth of rank %q is not above 0", rank.Name)
		}
		if rank.Target.Std() > maxTarget {
			c.add(SectionRanks, path+".target", "the longest target is 10m", "target of rank %q is too long", rank.Name)
		}
		floors += rank.Floor
		const rounding = 1e-9
		if floors > 1+rounding {
			c.add(SectionRanks, path+".floor", "lower the floors until they add up to 100% or less", "floors add up to %.0f%%", float64(floors)*100)
		}
	}
	const maxRanks = 8
	if len(c.document.Ranks.Ranks) > maxRanks {
		c.add(SectionRanks, "rank[8]", "merge ranks of similar worth", "more than %d ranks", maxRanks)
	}
}

func (c *checker) checkServices() {
	hosts := make(map[string]string)
	c.count(SectionServices, "service[0]", len(c.document.Services.Services))
	for i := range c.document.Services.Services {
		service := &c.document.Services.Services[i]
		path := fmt.Sprintf("service[%d]", i)
		c.name(SectionServices, "service", path, service.Name, c.services)
		for j, host := range service.Hosts {
			key := strings.ToLower(host)
			where := fmt.Sprintf("%s.hosts[%d]", path, j)
			if owner, taken := hosts[key]; taken {
				c.add(SectionServices, where, "name each host in one service", "host %q already belongs to service %q", host, owner)
			}
			hosts[key] = service.Name
		}
		c.checkWhere(service, path)
		c.checkNumbers(service, path)
		c.checkRules(service, path)
	}
}

func (c *checker) checkWhere(service *Service, path string) {
	allowed := make(map[string]bool)
	for j, region := range service.Regions {
		c.reference(SectionServices, "region", fmt.Sprintf("%s.regions[%d]", path, j), region, c.regions)
		allowed[region] = true
	}
	for _, domain := range c.document.Places.Domains {
		if len(allowed) == 0 || allowed[domain.Region] {
			return
		}
	}
	if len(c.document.Places.Domains) > 0 {
		c.add(SectionServices, path+".regions", "allow a region that has a failure domain", "service %q is allowed nowhere", service.Name)
	}
}

func (c *checker) checkNumbers(service *Service, path string) {
	if service.Placing != PlacingOwner && service.Placing != PlacingEntry {
		c.add(SectionServices, path+".placing", "use \"owner\" or \"entry\"", "placing %q does not exist", service.Placing)
	}
	if !(service.ColdRate >= 0) {
		c.add(SectionServices, path+".cold_rate", "use 0 or more requests per second", "cold_rate of service %q is not valid", service.Name)
	}
	if service.Target.Std() > maxTarget {
		c.add(SectionServices, path+".target", "the longest target is 10m", "target of service %q is too long", service.Name)
	}
	if interval := service.Interval.Std(); interval < minInterval || interval > maxInterval {
		c.add(SectionServices, path+".interval", "use 100ms to 10m", "interval of service %q is out of range", service.Name)
	}
	if service.Headroom > maxHeadroom {
		c.add(SectionServices, path+".headroom", "use 0% to 90%", "headroom of service %q leaves too little capacity", service.Name)
	}
	if service.Queue < 0 || service.Queue > maxQueue {
		c.add(SectionServices, path+".queue", "use 1 to 1024 waiting requests per slot", "queue of service %q is out of range", service.Name)
	}
	if service.Bytes < 0 {
		c.add(SectionServices, path+".bytes", "give the size of a typical answer in bytes", "bytes of service %q is negative", service.Name)
	}
	for j, status := range service.Shed {
		if status < http.StatusBadRequest || status > 599 {
			c.add(SectionServices, fmt.Sprintf("%s.shed[%d]", path, j), "use a status from 400 to 599", "status %d cannot mean \"shed, not run\"", status)
		}
	}
}

func (c *checker) checkRules(service *Service, path string) {
	if len(service.Rules) == 0 && !c.document.Routes.Uses(service.Name) && service.Placing != PlacingEntry {
		c.add(SectionServices, path, "add a [[service.rule]] with method = \"*\", path = \"/\" and a rank", "service %q has no rules", service.Name)
	}
	for j, rule := range service.Rules {
		where := fmt.Sprintf("%s.rule[%d]", path, j)
		c.reference(SectionServices, "rank", where+".rank", rule.Rank, c.ranks)
		if !strings.HasPrefix(rule.Path, "/") {
			c.add(SectionServices, where+".path", "begin the path with \"/\"", "path prefix %q is not absolute", rule.Path)
		}
		if !methodPattern.MatchString(rule.Method) {
			c.add(SectionServices, where+".method", "use a method such as \"POST\", or \"*\" for all", "method %q is not valid", rule.Method)
		}
	}
}

func (c *checker) checkStops() {
	names := make(map[string]bool)
	c.count(SectionStops, "stop[0]", len(c.document.Stops.Stops))
	for i, stop := range c.document.Stops.Stops {
		path := fmt.Sprintf("stop[%d]", i)
		c.name(SectionStops, "stop", path, stop.Name, names)
		c.checkStopped(stop, path)
		if !stop.End.After(stop.Begin) {
			c.add(SectionStops, path+".end", "end the stop after it begins", "stop %q ends at or before its begin", stop.Name)
		}
	}
}

func (c *checker) checkStopped(stop Stop, path string) {
	switch stop.Kind {
	case StopDomain:
		c.reference(SectionStops, "domain", path+".what", stop.What, c.domains)
	case StopRegion:
		c.reference(SectionStops, "region", path+".what", stop.What, c.regions)
	case StopUpstream, StopVM:
		if stop.What == "" {
			c.add(SectionStops, path, "add what = \"NAME\"", "stop %q names nothing", stop.Name)
		}
	default:
		c.add(SectionStops, path+".kind", "use upstream, vm, domain or region", "kind %q does not exist", stop.Kind)
	}
}
