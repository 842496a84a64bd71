package main

import (
	"fmt"
	"net/http"
	"os"
	"time"
)

func init() { cases["shared-name"] = playSharedName }

// configApply is config_apply_s of the settings.
const configApply = 2500 * time.Millisecond

const infoHost = "info.example"

// namesConfig is a config with a route on each of its hosts. With two hosts, their routes have
// the same name.
func namesConfig(version, hosts int) []byte {
	route := func(host, service string) string {
		return fmt.Sprintf(`{"hostname":%q,"paths":[{"name":"default","path_prefix":"/read/","type":"safe","timeout_s":2.0,"target_latency_s":0.5,"priority":1,"backend":%q,"max_attempts":2,"session_affinity":false,"allowed_regions":[]}]}`, host, service)
	}
	service := func(name string) string {
		return fmt.Sprintf(`{"name":%q,"health_path":"/health","max_connections":360,"protocol":"h1","tls":false,"warmup_s":0,"warmup_per_s":0}`, name)
	}
	list := route(shopHost, "orders")
	if hosts > 1 {
		list += "," + route(infoHost, "pages")
	}
	return fmt.Appendf(nil, `{"version":%d,"services":[%s,%s],"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15},"hosts":[%s]}`,
		version, service("orders"), service("pages"), list)
}

// playSharedName adds a route on a second host, with the name that a route of the first host
// has, and looks for requests that run at the service of the other host.
func playSharedName(r *record, program string) error {
	c, err := begin(r, program, threeZones, threeZones, 1)
	if c != nil {
		defer c.stopAll(os.Getenv("KEEP") != "")
	}
	if err != nil {
		return err
	}
	if err := c.order(http.MethodPut, "/api/config", namesConfig(2, 1), c.cores()...); err != nil {
		return err
	}
	var upstreams []*upstream
	for i, z := range c.zones {
		for _, service := range []string{"orders", "pages"} {
			u, err := c.newUpstream(fmt.Sprintf("i-%s-%d", service, i+1), service, z.name, loopback()+":0", 10*time.Millisecond)
			if err != nil {
				return err
			}
			u.announce()
			upstreams = append(upstreams, u)
		}
	}
	time.Sleep(settle)
	if trouble() {
		if err := c.order(http.MethodPut, "/api/config", namesConfig(3, 2), c.cores()...); err != nil {
			return err
		}
	}
	time.Sleep(configApply)
	stop := make(chan struct{})
	var clients []*client
	hosts := []string{shopHost}
	if trouble() {
		hosts = append(hosts, infoHost)
	}
	for _, m := range c.edges() {
		for _, host := range hosts {
			client := c.newClient(m)
			client.host = host
			clients = append(clients, client)
			client.stream("read-"+host, 50*time.Millisecond, stop, func(id string, n int) {
				client.send(id, http.MethodGet, "/read/"+id, fmt.Sprint("object-", n%60), nil, false, 2*time.Second)
			})
		}
	}
	time.Sleep(8 * time.Second)
	close(stop)
	_, answered := collect(clients)
	allowed := map[string]string{shopHost: "orders", infoHost: "pages"}
	runs, wrong := 0, 0
	for _, u := range upstreams {
		for _, done := range u.runsSoFar() {
			runs++
			if allowed[done.host] != u.service {
				wrong++
				r.write("WRONG SERVICE: %s for %s%s ran at %s of %s", done.request, done.host, done.uri, u.id, u.service)
			}
		}
	}
	r.write("%d requests answered, %d runs, %d at a service that no config allows", answered, runs, wrong)
	fmt.Printf("%d requests answered, %d runs, %d at a service that no config allows\n", answered, runs, wrong)
	if answered == 0 {
		return errNothingServed
	}
	if wrong > 0 {
		return fmt.Errorf("%w: %d requests ran at a service that no config allows", errBroken, wrong)
	}
	return nil
}
