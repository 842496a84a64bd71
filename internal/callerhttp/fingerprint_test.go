package callerhttp

import (
	"net/http"
	"net/url"
	"testing"

	"github.com/heatherwood/heatherwood/pkg/document"
)

// A request that crashes servers barred those for the same path of other hosts.
func TestFingerprintTellsHostsApart(t *testing.T) {
	fingerprintOf := func(route *document.Route) uint64 {
		in := inbound{route: route, request: &http.Request{Method: http.MethodPost, URL: &url.URL{Path: "/a"}}, service: &document.Service{Name: "web"}}
		digest := in.digest()
		if got := in.fingerprint(digest); route == nil && got != digest {
			t.Errorf("fingerprint %x without a route, want the digest %x", got, digest)
		}
		return in.fingerprint(digest)
	}
	shop := fingerprintOf(&document.Route{Name: "default", Host: "shop.example", Path: "/"})
	if info := fingerprintOf(&document.Route{Name: "default", Host: "info.example", Path: "/"}); info == shop {
		t.Error("the same fingerprint for two hosts")
	}
	if upper := fingerprintOf(&document.Route{Name: "default", Host: "SHOP.example", Path: "/"}); upper != shop {
		t.Error("the fingerprint depends on the case of the host")
	}
	fingerprintOf(nil)
}
