package document

import (
	"fmt"
	"math"
	"strings"
)

func (c *checker) checkRoutes() {
	const maxRoutes = 4 * MaxEntries
	routes := &c.document.Routes
	if len(routes.Routes) > maxRoutes {
		c.add(SectionRoutes, "route[0]", fmt.Sprintf("keep at most %d", maxRoutes), "%d routes are too many", len(routes.Routes))
		return
	}
	routeByLocation := make(map[string]string)
	for i := range routes.Routes {
		route := &routes.Routes[i]
		path := fmt.Sprintf("route[%d]", i)
		if route.Name == "" || len(route.Name) > MaxNameBytes {
			c.add(SectionRoutes, path+".name", "use 1 to 64 bytes", "route name %q is not valid", route.Name)
		}
		location := route.Location()
		if other, found := routeByLocation[location]; found {
			c.add(SectionRoutes, path+".path", "give each host and path one route", "route %q already has this host and path", other)
		}
		routeByLocation[location] = route.Name
		c.checkRoute(route, path)
		c.checkTargets(route, path)
	}
}

func (c *checker) checkRoute(route *Route, path string) {
	if route.Host == "" {
		c.add(SectionRoutes, path, "add host = \"shop.example\"", "route %q has no host", route.Name)
	}
	if !strings.HasPrefix(route.Path, "/") {
		c.add(SectionRoutes, path+".path", "begin the path with \"/\"", "path prefix %q is not absolute", route.Path)
	}
	switch route.Kind {
	case KindRepeat, KindDownload, KindAttempt, KindOnce:
	default:
		c.add(SectionRoutes, path+".kind", "use \"repeat\", \"download\", \"attempt\" or \"once\"", "kind %q does not exist", route.Kind)
	}
	if route.Timeout.Std() > maxRouteTimeout {
		c.add(SectionRoutes, path+".timeout", "the longest timeout is 10m", "timeout of route %q is too long", route.Name)
	}
	if route.Tries < 1 || route.Tries > maxTries {
		c.add(SectionRoutes, path+".tries", fmt.Sprintf("use 1 to %d", maxTries), "tries of route %q are out of range", route.Name)
	}
	c.checkReference(SectionRoutes, "rank", path+".rank", route.Rank, c.ranks)
	for j, region := range route.Regions {
		c.checkReference(SectionRoutes, "region", fmt.Sprintf("%s.regions[%d]", path, j), region, c.regions)
	}
}

// checkTargets checks the services of a route and their weights, of which one
// must be above 0.
func (c *checker) checkTargets(route *Route, path string) {
	totalWeight := 0.0
	for j, target := range route.To {
		targetPath := fmt.Sprintf("%s.to[%d]", path, j)
		c.checkReference(SectionRoutes, "service", targetPath+".service", target.Service, c.services)
		if !(target.Weight >= 0) || math.IsInf(target.Weight, 0) {
			c.add(SectionRoutes, targetPath+".weight", "use 0 or more", "weight %v of route %q is not valid", target.Weight, route.Name)
		}
		totalWeight += target.Weight
	}
	if !(totalWeight > 0) {
		c.add(SectionRoutes, path, "add a [[route.to]] with service and weight = 1", "route %q sends requests nowhere", route.Name)
	}
}
