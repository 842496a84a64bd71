package callerhttp

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

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
	followed := &serverConn{Conn: conn}
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

// askServer asks a server by a health check which one it is and how long it stays cold.
func (l *Relay) askServer(q reducer.ServerQuestion) reducer.ServerAnswered {
	id, coldFor, err := l.checkHealth(q)
	answer := reducer.ServerAnswered{Question: q, ID: id, ColdFor: coldFor}
	if err != nil {
		answer.Why = err.Error()
		return answer
	}
	l.contacts.noteState(q.Address, id == q.Server && coldFor == 0)
	return answer
}

func (l *Relay) checkHealth(q reducer.ServerQuestion) (string, time.Duration, error) {
	if l.Dialect.ParseHealth == nil {
		return "", 0, errNoHealth
	}
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+q.Address+q.Path, nil)
	if err != nil {
		return "", 0, fmt.Errorf("health check of %s: %w", q.Server, err)
	}
	request.Header.Set("User-Agent", "")
	var conn *serverConn
	response, err := l.Transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { conn, _ = info.Conn.(*serverConn) },
	})))
	if err != nil {
		return "", 0, fmt.Errorf("health check of %s: %w", q.Server, err)
	}
	if conn != nil {
		conn.noteAnswer(response)
	}
	defer drain(response)
	id, coldFor, err := l.Dialect.ParseHealth(response)
	if err != nil {
		return "", 0, fmt.Errorf("health check of %s: %w", q.Server, err)
	}
	return id, coldFor, nil
}
