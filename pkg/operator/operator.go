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

// Client calls the operator API of one entry VM.
type Client struct {
	Address string       // host:port
	Token   string       // of the team
	HTTP    *http.Client // nil means http.DefaultClient
}

// Section is the current version of a section.
type Section struct {
	Version uint64
	Text    []byte // TOML
}

// Change is a new text of a section.
type Change struct {
	Base uint64 // version that the change starts from
	ID   string // the same for each resend
	Text []byte // TOML
}

// Accepted is the answer to an accepted change.
type Accepted struct {
	Section  string `json:"section"`
	Version  uint64 `json:"version"`  // that the change made
	Index    uint64 `json:"index"`    // of the change in the replicated log
	Replayed bool   `json:"replayed"` // answer to an earlier send of the same change
}

// Version is one version in the history of a section.
type Version struct {
	Version  uint64    `json:"version"`
	At       time.Time `json:"at"` // time of the change
	Team     string    `json:"team"`
	ChangeID string    `json:"changeId"`
	Index    uint64    `json:"index"`          // of the change in the replicated log
	Text     string    `json:"text,omitempty"` // TOML; empty when not asked for or no longer kept
}

// Problem is the answer to a call that was refused or failed.
type Problem struct {
	Status int    `json:"status"`
	Reason string `json:"reason"` // code, such as "version-conflict"
	Detail string `json:"detail"`
	Text   string `json:"text"` // errors in a section, formatted for people
}

// Error returns the errors in a section, or else the detail, status and reason.
func (p *Problem) Error() string {
	if p.Text != "" {
		return p.Text
	}
	return fmt.Sprintf("%s (%d %s)", p.Detail, p.Status, p.Reason)
}

// Temporary reports whether the same call may succeed later.
func (p *Problem) Temporary() bool { return p.Status == http.StatusServiceUnavailable }

// AsProblem returns the Problem that an error wraps, if any.
func AsProblem(err error) (*Problem, bool) {
	var problem *Problem
	found := errors.As(err, &problem)
	return problem, found
}

const maxAnswerBytes = 64 << 20

// do sends a call and returns the response and its body; an answer of status 400
// or above becomes a *Problem.
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

// Get returns the current version of a section.
func (c Client) Get(ctx context.Context, section document.Section) (Section, error) {
	response, text, err := c.do(ctx, http.MethodGet, sectionPath(section), nil, nil)
	if err != nil {
		return Section{}, err
	}
	version, err := strconv.ParseUint(strings.Trim(response.Header.Get("ETag"), `"`), 10, 64)
	if err != nil {
		return Section{}, fmt.Errorf("read section version from the ETag header: %w", err)
	}
	return Section{Version: version, Text: text}, nil
}

// Put changes a section; a resend with the same ID returns the first answer again.
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
		return Accepted{}, fmt.Errorf("decode answer to the change: %w", err)
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
		return nil, fmt.Errorf("decode history: %w", err)
	}
	return versions, nil
}

// Status returns the status of the VM as JSON.
func (c Client) Status(ctx context.Context) (json.RawMessage, error) {
	_, answer, err := c.do(ctx, http.MethodGet, "/v1/status", nil, nil)
	return answer, err
}

// Audit returns up to limit of the latest audit records of the VM as JSON, newest
// last.
func (c Client) Audit(ctx context.Context, limit int) (json.RawMessage, error) {
	_, answer, err := c.do(ctx, http.MethodGet, "/v1/audit?limit="+strconv.Itoa(limit), nil, nil)
	return answer, err
}

// Lift ends the suspicion or quarantine of a request by its fingerprint.
func (c Client) Lift(ctx context.Context, fingerprint string) error {
	_, _, err := c.do(ctx, http.MethodDelete, "/v1/quarantine/"+url.PathEscape(fingerprint), nil, nil)
	return err
}

// ReplicaAction is a change to one control replica.
type ReplicaAction struct {
	Action string `json:"action"`         // add, promote or remove
	Peer   string `json:"peer,omitempty"` // its peer address, host:port; needed to add
}

// ChangeReplica adds, promotes or removes the control replica on a VM.
func (c Client) ChangeReplica(ctx context.Context, id string, action ReplicaAction) error {
	body, err := json.Marshal(action)
	if err != nil {
		return fmt.Errorf("encode action: %w", err)
	}
	_, _, err = c.do(ctx, http.MethodPost, "/v1/replicas/"+url.PathEscape(id), nil, body)
	return err
}
