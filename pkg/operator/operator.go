package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/heatherwood/heatherwood/pkg/document"
)

// Client speaks to one entry VM.
type Client struct {
	Address string // host:port
	Token   string // of the team
	HTTP    *http.Client
}

// Section is the present text of a section.
type Section struct {
	Version uint64
	Text    []byte
}

// Change is a new text of a section.
type Change struct {
	Base uint64 // version that was changed
	ID   string // the same for each resend
	Text []byte
}

// Accepted tells where a change stands.
type Accepted struct {
	Section  string `json:"section"`
	Version  uint64 `json:"version"`
	Index    uint64 `json:"index"`
	Replayed bool   `json:"replayed"`
}

// Version is one line of a section's history.
type Version struct {
	Version  uint64    `json:"version"`
	At       time.Time `json:"at"`
	Team     string    `json:"team"`
	ChangeID string    `json:"changeId"`
	Index    uint64    `json:"index"`
	Text     string    `json:"text,omitempty"`
}

// Problem is a refusal by the system.
type Problem struct {
	Status int    `json:"status"`
	Reason string `json:"reason"`
	Detail string `json:"detail"`
	Text   string `json:"text"` // findings in a section, for people
}

// Error shows the reason and its detail.
func (p *Problem) Error() string {
	if p.Text != "" {
		return p.Text
	}
	return fmt.Sprintf("%s (%d %s)", p.Detail, p.Status, p.Reason)
}

// Temporary reports whether the same call may succeed later.
func (p *Problem) Temporary() bool { return p.Status == http.StatusServiceUnavailable }

// AsProblem finds the refusal in an error.
func AsProblem(err error) (*Problem, bool) {
	var problem *Problem
	found := errors.As(err, &problem)
	return problem, found
}

const maxAnswerBytes = 64 << 20

func (c Client) do(ctx context.Context, method, path string, header http.Header, body []byte) (*http.Response, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, nil, fmt.Errorf("build request: %w", err)
	}
	for name, values := range header {
		request.Header[name] = values
	}
	request.Header.Set("Authorization", "Bearer "+c.Token)
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, nil, fmt.Errorf("call %s: %w", c.Address, err)
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return nil, nil, fmt.Errorf("read answer of %s: %w", c.Address, err)
	}
	if response.StatusCode >= http.StatusBadRequest {
		problem := &Problem{Status: response.StatusCode}
		if json.Unmarshal(answer, problem) != nil {
			problem.Detail = http.StatusText(response.StatusCode)
		}
		return nil, nil, problem
	}
	return response, answer, nil
}

func sectionPath(section document.Section) string { return "/v1/sections/" + string(section) }

// Get returns the present text of a section.
func (c Client) Get(ctx context.Context, section document.Section) (Section, error) {
	response, text, err := c.do(ctx, http.MethodGet, sectionPath(section), nil, nil)
	if err != nil {
		return Section{}, err
	}
	version, err := strconv.ParseUint(strings.Trim(response.Header.Get("ETag"), `"`), 10, 64)
	if err != nil {
		return Section{}, fmt.Errorf("answer has no version: %w", err)
	}
	return Section{Version: version, Text: text}, nil
}

// Put changes a section; a resend with the same id gets the first answer again.
func (c Client) Put(ctx context.Context, section document.Section, change Change) (Accepted, error) {
	header := make(http.Header)
	header.Set("If-Match", strconv.Quote(strconv.FormatUint(change.Base, 10)))
	header.Set("Change-Id", change.ID)
	header.Set("Content-Type", "application/toml")
	_, answer, err := c.do(ctx, http.MethodPut, sectionPath(section), header, change.Text)
	if err != nil {
		return Accepted{}, err
	}
	var accepted Accepted
	if err := json.Unmarshal(answer, &accepted); err != nil {
		return Accepted{}, fmt.Errorf("read answer: %w", err)
	}
	return accepted, nil
}

// History lists the versions of a section, oldest first.
func (c Client) History(ctx context.Context, section document.Section, withText bool) ([]Version, error) {
	path := sectionPath(section) + "/history"
	if withText {
		path += "?text=1"
	}
	_, answer, err := c.do(ctx, http.MethodGet, path, nil, nil)
	if err != nil {
		return nil, err
	}
	var versions []Version
	if err := json.Unmarshal(answer, &versions); err != nil {
		return nil, fmt.Errorf("read answer: %w", err)
	}
	return versions, nil
}

// Status returns the status of the VM as JSON.
func (c Client) Status(ctx context.Context) (json.RawMessage, error) {
	_, answer, err := c.do(ctx, http.MethodGet, "/v1/status", nil, nil)
	return answer, err
}

// Audit returns the latest audit records of the VM as JSON.
func (c Client) Audit(ctx context.Context, limit int) (json.RawMessage, error) {
	_, answer, err := c.do(ctx, http.MethodGet, "/v1/audit?limit="+strconv.Itoa(limit), nil, nil)
	return answer, err
}

// Lift clears a suspected or quarantined request.
func (c Client) Lift(ctx context.Context, fingerprint string) error {
	_, _, err := c.do(ctx, http.MethodDelete, "/v1/quarantine/"+url.PathEscape(fingerprint), nil, nil)
	return err
}

// ReplicaAction is a change of the control replicas.
type ReplicaAction struct {
	Action string `json:"action"` // add, promote or remove
	Peer   string `json:"peer,omitempty"`
}

// ChangeReplica changes the control replicas by one.
func (c Client) ChangeReplica(ctx context.Context, id string, action ReplicaAction) error {
	body, err := json.Marshal(action)
	if err != nil {
		return fmt.Errorf("encode action: %w", err)
	}
	_, _, err = c.do(ctx, http.MethodPost, "/v1/replicas/"+url.PathEscape(id), nil, body)
	return err
}
