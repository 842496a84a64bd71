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

// checker finds errors that decoding cannot: names, references between
// sections and bounds on values. Its maps hold the names declared so far.
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

func (c *checker) checkAll() {
	c.checkPlaces()
	c.checkRanks()
	c.checkServices()
	c.checkStops()
	c.checkRoutes()
	c.checkCustomers()
}

// add reports an error at a path of the section, with a note on the remedy.
func (c *checker) add(section Section, path, note, format string, args ...any) {
	c.messages = append(c.messages, c.locators[section].messageAtPath(path, note, format, args...))
}

// checkName checks that a name is well formed and unique within its kind, and
// adds it to declared.
func (c *checker) checkName(section Section, kind, path, name string, declared map[string]bool) {
	path += ".name"
	if !namePattern.MatchString(name) || len(name) > MaxNameBytes {
		c.add(section, path, "use 1 to 64 of a-z, 0-9 and \"-\"; begin and end with a letter or digit", "%s name %q is not valid", kind, name)
		return
	}
	if declared[name] {
		c.add(section, path, "give each "+kind+" a name of its own", "%s %q is declared twice", kind, name)
	}
	declared[name] = true
}

// checkReference checks that the name is one of the declared names.
func (c *checker) checkReference(section Section, kind, path, name string, declared map[string]bool) {
	if declared[name] {
		return
	}
	c.add(section, path, "known "+kind+" names: "+listNames(declared), "%s %q does not exist", kind, name)
}

func listNames(declared map[string]bool) string {
	if len(declared) == 0 {
		return "none"
	}
	const maxShown = 8
	names := sortedKeys(declared)
	if len(names) > maxShown {
		return strings.Join(names[:maxShown], ", ") + ", ..."
	}
	return strings.Join(names, ", ")
}

// checkCount checks that a list holds at most MaxEntries entries.
func (c *checker) checkCount(section Section, path string, n int) {
	if n > MaxEntries {
		c.add(section, path, fmt.Sprintf("keep at most %d", MaxEntries), "%d entries are too many", n)
	}
}

func (c *checker) checkPlaces() {
	places := &c.document.Places
	c.checkCount(SectionPlaces, "region[0]", len(places.Regions))
	c.checkCount(SectionPlaces, "domain[0]", len(places.Domains))
	c.checkCount(SectionPlaces, "place[0]", len(places.Places))
	for i, region := range places.Regions {
		c.checkName(SectionPlaces, "region", fmt.Sprintf("region[%d]", i), region.Name, c.regions)
	}
	for i, domain := range places.Domains {
		path := fmt.Sprintf("domain[%d]", i)
		c.checkName(SectionPlaces, "domain", path, domain.Name, c.domains)
		c.checkReference(SectionPlaces, "region", path+".region", domain.Region, c.regions)
	}
	for i, latency := range places.Latencies {
		path := fmt.Sprintf("latency[%d]", i)
		c.checkReference(SectionPlaces, "region", path+".from", latency.From, c.regions)
		c.checkReference(SectionPlaces, "region", path+".to", latency.To, c.regions)
	}
	for i, link := range places.Links {
		path := fmt.Sprintf("link[%d]", i)
		c.checkReference(SectionPlaces, "region", path+".from", link.From, c.regions)
		c.checkReference(SectionPlaces, "region", path+".to", link.To, c.regions)
		if link.Limit <= 0 {
			c.add(SectionPlaces, path, "add limit = \"4Gbit/s\"", "link has no limit")
		}
	}
	c.checkBlocks()
}

func (c *checker) checkBlocks() {
	names := make(map[string]bool)
	totalBlocks := 0
	for i, place := range c.document.Places.Places {
		path := fmt.Sprintf("place[%d]", i)
		c.checkName(SectionPlaces, "place", path, place.Name, names)
		c.checkReference(SectionPlaces, "region", path+".region", place.Region, c.regions)
		totalBlocks += len(place.Blocks)
	}
	if totalBlocks > MaxBlocks {
		c.add(SectionPlaces, "place[0]", fmt.Sprintf("keep at most %d", MaxBlocks), "%d blocks are too many", totalBlocks)
		return
	}
	placeByBlock := make(map[netip.Prefix]int, totalBlocks)
	for i, place := range c.document.Places.Places {
		for j, block := range place.Blocks {
			c.checkBlock(i, j, block, placeByBlock)
		}
	}
}

// checkBlock checks that a block is well formed and in only one place, and adds
// it to placeByBlock, which holds indexes of places.
func (c *checker) checkBlock(placeIndex, blockIndex int, block netip.Prefix, placeByBlock map[netip.Prefix]int) {
	masked := block.Masked()
	if block != masked {
		c.add(SectionPlaces, blockPath(placeIndex, blockIndex), "write "+masked.String(), "block %s has bits set after its prefix", block)
	}
	if other, found := placeByBlock[masked]; found {
		name := c.document.Places.Places[other].Name
		c.add(SectionPlaces, blockPath(placeIndex, blockIndex), "keep it in one place", "block %s is already in place %q", masked, name)
	}
	placeByBlock[masked] = placeIndex
}

func blockPath(placeIndex, blockIndex int) string {
	return fmt.Sprintf("place[%d].blocks[%d]", placeIndex, blockIndex)
}

func (c *checker) checkRanks() {
	var floorSum Percent
	c.checkCount(SectionRanks, "rank[0]", len(c.document.Ranks.Ranks))
	for i, rank := range c.document.Ranks.Ranks {
		path := fmt.Sprintf("rank[%d]", i)
		c.checkName(SectionRanks, "rank", path, rank.Name, c.ranks)
		if !(rank.Worth > 0) {
			c.add(SectionRanks, path+".worth", "give the worth of one served request, such as 10.0", "worth of rank %q is not above 0", rank.Name)
		}
		if rank.Target.Std() > maxTarget {
			c.add(SectionRanks, path+".target", "the longest target is 10m", "target of rank %q is too long", rank.Name)
		}
		floorSum += rank.Floor
		const tolerance = 1e-9 // for rounding errors in the sum
		if floorSum > 1+tolerance {
			c.add(SectionRanks, path+".floor", "lower the floors until they add up to 100% or less", "floors add up to %.0f%%", float64(floorSum)*100)
		}
	}
	const maxRanks = 8
	if len(c.document.Ranks.Ranks) > maxRanks {
		c.add(SectionRanks, "rank[8]", "merge ranks of similar worth", "more than %d ranks", maxRanks)
	}
}

func (c *checker) checkServices() {
	serviceByHost := make(map[string]string)
	c.checkCount(SectionServices, "service[0]", len(c.document.Services.Services))
	for i := range c.document.Services.Services {
		service := &c.document.Services.Services[i]
		path := fmt.Sprintf("service[%d]", i)
		c.checkName(SectionServices, "service", path, service.Name, c.services)
		for j, host := range service.Hosts {
			key := strings.ToLower(host)
			hostPath := fmt.Sprintf("%s.hosts[%d]", path, j)
			if other, found := serviceByHost[key]; found {
				c.add(SectionServices, hostPath, "name each host in one service", "host %q already belongs to service %q", host, other)
			}
			serviceByHost[key] = service.Name
		}
		c.checkRegions(service, path)
		c.checkValues(service, path)
		c.checkRules(service, path)
	}
}

// checkRegions checks that the service may run in a region that has a failure
// domain.
func (c *checker) checkRegions(service *Service, path string) {
	allowed := make(map[string]bool)
	for j, region := range service.Regions {
		c.checkReference(SectionServices, "region", fmt.Sprintf("%s.regions[%d]", path, j), region, c.regions)
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

func (c *checker) checkValues(service *Service, path string) {
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

// checkRules checks the rules of a service. Only a service that an owner places
// and that no route names needs rules.
func (c *checker) checkRules(service *Service, path string) {
	if len(service.Rules) == 0 && !c.document.Routes.Uses(service.Name) && service.Placing != PlacingEntry {
		c.add(SectionServices, path, "add a [[service.rule]] with method = \"*\", path = \"/\" and a rank", "service %q has no rules", service.Name)
	}
	for j, rule := range service.Rules {
		rulePath := fmt.Sprintf("%s.rule[%d]", path, j)
		c.checkReference(SectionServices, "rank", rulePath+".rank", rule.Rank, c.ranks)
		if !strings.HasPrefix(rule.Path, "/") {
			c.add(SectionServices, rulePath+".path", "begin the path with \"/\"", "path prefix %q is not absolute", rule.Path)
		}
		if !methodPattern.MatchString(rule.Method) {
			c.add(SectionServices, rulePath+".method", "use a method such as \"POST\", or \"*\" for all", "method %q is not valid", rule.Method)
		}
	}
}

func (c *checker) checkStops() {
	names := make(map[string]bool)
	c.checkCount(SectionStops, "stop[0]", len(c.document.Stops.Stops))
	for i, stop := range c.document.Stops.Stops {
		path := fmt.Sprintf("stop[%d]", i)
		c.checkName(SectionStops, "stop", path, stop.Name, names)
		c.checkStopTarget(stop, path)
		if !stop.End.After(stop.Begin) {
			c.add(SectionStops, path+".end", "end the stop after it begins", "stop %q ends at or before its begin", stop.Name)
		}
	}
}

func (c *checker) checkStopTarget(stop Stop, path string) {
	switch stop.Kind {
	case StopDomain:
		c.checkReference(SectionStops, "domain", path+".what", stop.What, c.domains)
	case StopRegion:
		c.checkReference(SectionStops, "region", path+".what", stop.What, c.regions)
	case StopUpstream, StopVM:
		if stop.What == "" {
			c.add(SectionStops, path, "add what = \"NAME\"", "stop %q names nothing", stop.Name)
		}
	default:
		c.add(SectionStops, path+".kind", "use upstream, vm, domain or region", "kind %q does not exist", stop.Kind)
	}
}
