package demo

import (
	"fmt"
	"math/rand/v2"
	"net"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/heatherwood/heatherwood/examples"
	"github.com/heatherwood/heatherwood/internal/settings"
	"github.com/heatherwood/heatherwood/pkg/document"
)

// Prepare returns a demo that holds the settings of a site's VMs but runs none of
// them. It creates the data directory if the options name none.
func Prepare(options Options) (*Demo, error) {
	d := &Demo{Options: options}
	texts, err := examples.ReadTexts(options.Site)
	if err != nil {
		return nil, fmt.Errorf("site %q: use one of %s", options.Site, strings.Join(examples.SiteNames(), ", "))
	}
	parsed, messages := document.Parse(texts)
	if err := messages.Err(); err != nil {
		return nil, err
	}
	if err := d.createDataDir(); err != nil {
		return nil, err
	}
	d.texts, d.document = texts, parsed
	return d, d.makeSettings(parsed)
}

// makeSettings makes the settings of the VMs of each failure domain and assigns free
// ports to them.
func (d *Demo) makeSettings(parsed *document.Document) error {
	if d.Options.IP == "" {
		d.Options.IP = "127.0.0.1"
	}
	var replicas []settings.Replica
	var seeds []string
	ports, err := findFreePorts(d.Options.IP, 2*countVMs(parsed))
	if err != nil {
		return err
	}
	for i, domain := range parsed.Places.Domains {
		for j := range vmsPerDomain[i%len(vmsPerDomain)] {
			vm := settings.Settings{
				ID:        fmt.Sprintf("%s-%d", domain.Name, j+1),
				Domain:    domain.Name,
				Region:    domain.Region,
				Entry:     ports[0],
				Peer:      ports[1],
				SharedKey: siteKey,
			}
			ports = ports[2:]
			if controlVMs[fmt.Sprintf("%d-%d", i, j)] {
				vm.DataDir = filepath.Join(d.Options.DataDir, vm.ID)
				replicas = append(replicas, settings.Replica{ID: vm.ID, Peer: vm.Peer})
			}
			seeds = append(seeds, vm.Peer)
			d.VMSettings = append(d.VMSettings, vm)
		}
	}
	operators := d.makeOperators()
	for i := range d.VMSettings {
		d.VMSettings[i].Seeds = seeds
		d.VMSettings[i].InitialReplicas = replicas
		d.VMSettings[i].Operators = operators
		if err := d.VMSettings[i].Check(); err != nil {
			return err
		}
	}
	return nil
}

func countVMs(parsed *document.Document) int {
	total := 0
	for i := range parsed.Places.Domains {
		total += vmsPerDomain[i%len(vmsPerDomain)]
	}
	return total
}

// makeOperators makes one operator team for each section and keeps its token.
func (d *Demo) makeOperators() []settings.Operator {
	var operators []settings.Operator
	for _, section := range document.Written() {
		team := string(section) + "-team"
		token := "demo-token-of-" + team
		d.Tokens = append(d.Tokens, TeamToken{Team: team, Token: token})
		operators = append(operators, settings.Operator{Team: team, Token: token, Sections: []string{string(section)}})
	}
	return operators
}

// findFreePorts returns n addresses of the form host:port whose ports are free now.
// It listens on each until the last is found, so that none is returned twice.
func findFreePorts(ip string, n int) ([]string, error) {
	var addresses []string
	for range 10 * n {
		port := firstPort + rand.IntN(lastPort-firstPort)
		listener, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
		if err != nil {
			continue
		}
		defer listener.Close()
		if addresses = append(addresses, listener.Addr().String()); len(addresses) == n {
			return addresses, nil
		}
	}
	return nil, errTooFewPorts
}
