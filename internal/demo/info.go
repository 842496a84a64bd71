package demo

import (
	"slices"

	"github.com/heatherwood/heatherwood/pkg/document"
)

// Info describes a running demo for programs that read it as JSON.
type Info struct {
	Site     string        `json:"site"`
	Entries  []string      `json:"entries"` // host:port of each VM's entry
	Domains  []DomainInfo  `json:"domains"`
	Tokens   []TeamToken   `json:"tokens"`
	Backends []BackendInfo `json:"backends"`
	Services []ServiceInfo `json:"services"`
	DataDir  string        `json:"data"`
}

// DomainInfo lists the entries of a failure domain as host:port.
type DomainInfo struct {
	Name    string   `json:"name"`
	Region  string   `json:"region"`
	Entries []string `json:"entries"`
}

// BackendInfo describes a backend server.
type BackendInfo struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Address string `json:"address"`
	Domain  string `json:"domain"`
	Slots   int    `json:"slots"` // requests that it runs at once
}

// ServiceInfo describes a service and the host names that reach it.
type ServiceInfo struct {
	Name  string   `json:"name"`
	Hosts []string `json:"hosts"` // those of the service, then those of its routes
	Once  bool     `json:"once"`  // has operations that must not run twice
}

// Info describes the running demo.
func (d *Demo) Info() Info {
	info := Info{Site: d.Options.Site, Tokens: d.Tokens, DataDir: d.Options.DataDir}
	for _, s := range d.VMSettings {
		info.Entries = append(info.Entries, s.Entry)
		if last := len(info.Domains) - 1; last >= 0 && info.Domains[last].Name == s.Domain {
			info.Domains[last].Entries = append(info.Domains[last].Entries, s.Entry)
			continue
		}
		info.Domains = append(info.Domains, DomainInfo{Name: s.Domain, Region: s.Region, Entries: []string{s.Entry}})
	}
	for i, server := range d.Backends {
		info.Backends = append(info.Backends, BackendInfo{
			ID:      server.Settings.ID,
			Service: server.Settings.Service,
			Address: server.Address,
			Domain:  d.domainOfEntries(server.Settings.Entries),
			Slots:   d.Backends[i].Settings.Slots,
		})
	}
	for _, service := range d.document.Services.Services {
		info.Services = append(info.Services, ServiceInfo{
			Name:  service.Name,
			Hosts: append(slices.Clone(service.Hosts), d.routeHosts(service.Name)...),
			Once:  slices.ContainsFunc(service.Rules, func(r document.Rule) bool { return r.Once }),
		})
	}
	return info
}

// routeHosts returns the hosts of the routes that lead to the service.
func (d *Demo) routeHosts(service string) []string {
	var hosts []string
	for _, route := range d.document.Routes.Routes {
		matches := slices.ContainsFunc(route.To, func(t document.Target) bool { return t.Service == service })
		if matches && !slices.Contains(hosts, route.Host) {
			hosts = append(hosts, route.Host)
		}
	}
	return hosts
}

// domainOfEntries returns the failure domain of the VM that the first entry belongs to.
func (d *Demo) domainOfEntries(entries []string) string {
	for _, s := range d.VMSettings {
		if len(entries) > 0 && s.Entry == entries[0] {
			return s.Domain
		}
	}
	return ""
}
