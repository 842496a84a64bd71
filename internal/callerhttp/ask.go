package callerhttp

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/heatherwood/heatherwood/internal/placing"
	"github.com/heatherwood/heatherwood/internal/reducer"
)

const askTimeout = time.Second // a health check waits for a slot as any request does

// dialServer opens a connection to a server, which is followed from then on.
func (l *Relay) dialServer(ctx context.Context, address string) (net.Conn, error) {
	if isOpenOnly(ctx) {
		return nil, errOpenOnly
	}
	ctx, end := l.withConnectTimeout(ctx, maxConnectTimeout)
	defer end()
	conn, err := l.Node.DialServer(ctx, address)
	if err != nil && errors.Is(context.Cause(ctx), errNoConnection) {
		return nil, fmt.Errorf("dial %s: %w", address, errNoConnection)
	}
	if err != nil {
		l.contacts.failedToConnect(address, err)
		return nil, err
	}
	followed := followConn(conn)
	l.contacts.add(address, followed)
	return followed, nil
}

var errNoConnection = errors.New("no connection in time")

// withConnectTimeout returns a context that ends by errNoConnection once the time for a connection is
// over, and a little later where this VM notices that late.
func (l *Relay) withConnectTimeout(ctx context.Context, timeout time.Duration) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	now := l.Node.Clock.Now
	due := now().Add(timeout)
	timer := time.AfterFunc(timeout, func() {
		graceUntilOnTime(ctx, due, now)
		cancel(errNoConnection)
	})
	return ctx, func() {
		timer.Stop()
		cancel(nil)
	}
}

var errNoHealth = errors.New("servers of this site do not say in their health checks whether they are cold")

// askServer asks a server by a health check which one it is, how long it stays cold and what load it
// has. Where a request waits for that, it reports first that the answer is late, once it is.
func (l *Relay) askServer(q reducer.ServerQuestion) reducer.ServerAnswered {
	if q.Wait > 0 {
		late := time.AfterFunc(q.Wait, func() {
			l.Node.Metrics.LateLoadAnswers.Inc()
			l.Node.Apply(reducer.ServerAnswered{Question: q, Why: errLate.Error(), Late: true})
		})
		defer late.Stop()
	}
	health, err := l.checkHealth(q)
	answer := reducer.ServerAnswered{Question: q, ID: health.id, ColdFor: health.coldFor, Load: health.load}
	if err != nil {
		answer.Why = err.Error()
		return answer
	}
	l.contacts.noteState(q.Address, health.id == q.Server && health.coldFor == 0)
	return answer
}

var errLate = errors.New("the answer is late")

// health is what a server says about itself in a health check.
type health struct {
	id      string
	coldFor time.Duration
	load    placing.Load
}

func (l *Relay) checkHealth(q reducer.ServerQuestion) (health, error) {
	if l.Dialect.ParseHealth == nil {
		return health{}, errNoHealth
	}
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+q.Address+q.Path, nil)
	if err != nil {
		return health{}, fmt.Errorf("health check of %s: %w", q.Server, err)
	}
	request.Header.Set("User-Agent", "")
	var conn *serverConn
	response, err := readAnswer(ctx, l.Transport, request, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { conn, _ = info.Conn.(*serverConn) },
	})
	if err != nil {
		return health{}, fmt.Errorf("health check of %s: %w", q.Server, err)
	}
	if conn != nil {
		conn.noteAnswer(response)
	}
	// What the head says counts once the answer is whole.
	if err := drain(response); err != nil {
		return health{}, fmt.Errorf("health check of %s: %w", q.Server, err)
	}
	id, coldFor, err := l.Dialect.ParseHealth(response)
	if err != nil {
		return health{}, fmt.Errorf("health check of %s: %w", q.Server, err)
	}
	return health{id: id, coldFor: coldFor, load: l.parseLoad(response.Header)}, nil
}
