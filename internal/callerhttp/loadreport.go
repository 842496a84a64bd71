package callerhttp

import (
	"net/http"

	"github.com/heatherwood/heatherwood/internal/placing"
)

// parseLoad returns the load that a server reports in an answer. A malformed report is an unknown
// load; it is counted, because a load that no entry knows shows in no other way.
func (l *Relay) parseLoad(header http.Header) placing.Load {
	if l.Dialect.ParseLoad == nil {
		return placing.Load{}
	}
	load, err := l.Dialect.ParseLoad(header)
	if err != nil {
		l.Node.Metrics.MalformedLoads.Inc()
	}
	return load
}
