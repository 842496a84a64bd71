package intake

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/heatherwood/heatherwood/internal/clock"
)

const stallTimeout = 3 * time.Second // without a byte of a body, after which it is given up

// ReadBody reads the body of a request of at most limit bytes. The share holds it until it is
// released; the caller does so after an error too. The error is ErrTooLarge, ErrFull or ErrLate,
// wrapped, or that of the connection.
func (b *Budget) ReadBody(w http.ResponseWriter, r *http.Request, clk clock.Clock, limit int64) ([]byte, *Share, error) {
	reader := &bodyReader{body: r.Body, control: http.NewResponseController(w), clock: clk}
	share := b.Open(reader.giveUp)
	body, err := share.ReadAll(reader, limit)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = fmt.Errorf("%w: %w", ErrLate, err)
	}
	if keepErr := share.Keep(); keepErr != nil {
		err = keepErr
	}
	if err == nil {
		// The handler waits for more than the body from now on.
		err = ignoreUnsupported(reader.control.SetReadDeadline(time.Time{}))
	}
	if err != nil {
		w.Header().Set("Connection", "close")
		return nil, share, err
	}
	return body, share, nil
}

// bodyReader reads a body that is given up when it stalls, or when giveUp is called.
type bodyReader struct {
	body    io.Reader
	control *http.ResponseController
	clock   clock.Clock

	mutex   sync.Mutex
	givenUp bool
}

// Read implements io.Reader.
func (r *bodyReader) Read(p []byte) (int, error) {
	if err := r.extend(); err != nil {
		return 0, err
	}
	return r.body.Read(p)
}

func (r *bodyReader) extend() error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.givenUp {
		return ErrFull
	}
	return ignoreUnsupported(r.control.SetReadDeadline(r.clock.Now().Add(stallTimeout)))
}

// giveUp ends a read that waits, and all later ones.
func (r *bodyReader) giveUp() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.givenUp = true
	// Without a deadline the read ends with the connection.
	_ = r.control.SetReadDeadline(time.Unix(1, 0))
}

// ignoreUnsupported returns the error, unless the connection has no deadlines, as in tests.
func ignoreUnsupported(err error) error {
	if errors.Is(err, http.ErrNotSupported) {
		return nil
	}
	return err
}
