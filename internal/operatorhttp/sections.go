package operatorhttp

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/heatherwood/heatherwood/internal/ledger"
	"github.com/heatherwood/heatherwood/internal/node"
	"github.com/heatherwood/heatherwood/internal/problem"
	"github.com/heatherwood/heatherwood/internal/quorum"
	"github.com/heatherwood/heatherwood/internal/reducer"
	"github.com/heatherwood/heatherwood/internal/settings"
	"github.com/heatherwood/heatherwood/pkg/document"
	"github.com/heatherwood/heatherwood/pkg/operator"
)

const (
	changeLimit  = 10 * time.Second // wait for a quorum
	recheckPause = 100 * time.Millisecond
)

func sectionOf(w http.ResponseWriter, r *http.Request) (document.Section, bool) {
	section := document.Section(r.PathValue("name"))
	if !section.Known() {
		refuse(w, http.StatusNotFound, "unknown-section", "sections are places, services, ranks and stops")
		return "", false
	}
	return section, true
}

func etag(version uint64) string { return strconv.Quote(strconv.FormatUint(version, 10)) }

func (h *Handler) getSection(w http.ResponseWriter, r *http.Request, _ settings.Operator) {
	name, known := sectionOf(w, r)
	if !known {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), changeLimit)
	defer cancel()
	read, err := h.Node.ReadSection(ctx, name)
	if err != nil {
		problem.Write(w, problem.Problem{Status: http.StatusServiceUnavailable, Reason: "no-quorum", Detail: err.Error(), RetryAfter: time.Second})
		return
	}
	w.Header().Set("ETag", etag(read.Section.Version))
	w.Header().Set("Content-Type", "application/toml")
	w.Write(read.Section.Text)
}

func (h *Handler) getHistory(w http.ResponseWriter, r *http.Request, _ settings.Operator) {
	name, known := sectionOf(w, r)
	if !known {
		return
	}
	versions, err := h.Node.History(r.Context(), name)
	if err != nil {
		problem.Write(w, problem.Problem{Status: http.StatusServiceUnavailable, Reason: "no-quorum", Detail: err.Error(), RetryAfter: time.Second})
		return
	}
	withText := r.URL.Query().Get("text") != ""
	list := make([]operator.Version, 0, len(versions))
	for _, version := range versions {
		line := operator.Version{Version: version.Version, At: version.At, Team: version.Team, ChangeID: version.ChangeID, Index: version.Position.Index}
		if withText {
			line.Text = string(version.Text)
		}
		list = append(list, line)
	}
	writeJSON(w, list)
}

// change is a PUT of a section while it is served.
type change struct {
	section document.Section
	base    uint64
	id      string
	text    []byte
	team    settings.Operator
}

func (h *Handler) putSection(w http.ResponseWriter, r *http.Request, team settings.Operator) {
	section, known := sectionOf(w, r)
	if !known {
		return
	}
	c := change{section: section, team: team, id: r.Header.Get("Change-Id")}
	if !team.MayWrite(section) {
		h.refuseChange(w, c, http.StatusForbidden, "not-owner", "team "+team.Team+" does not own this section")
		return
	}
	if c.id == "" || len(c.id) > ledger.MaxKeyBytes {
		h.refuseChange(w, c, http.StatusBadRequest, "change-id-missing", "send a Change-Id of 1 to 256 bytes; use the same one when you send the change again")
		return
	}
	var err error
	if c.base, err = ifMatch(r.Header.Get("If-Match")); err != nil {
		h.refuseChange(w, c, http.StatusPreconditionRequired, "if-match-missing", err.Error())
		return
	}
	if c.text, err = io.ReadAll(http.MaxBytesReader(w, r.Body, document.MaxSectionBytes)); err != nil {
		h.refuseChange(w, c, http.StatusRequestEntityTooLarge, "section-too-large", "a section has at most 32 MiB")
		return
	}
	h.commit(w, r, c)
}

var errIfMatch = errors.New("send If-Match with the version that you changed, such as \"3\"; a section never written has version \"0\"")

func ifMatch(header string) (uint64, error) {
	text := strings.Trim(strings.TrimPrefix(header, "W/"), `"`)
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, errIfMatch
	}
	return version, nil
}

func (h *Handler) auditChange(c change, outcome string) {
	h.Node.RecordAudit(reducer.Audit{
		Kind:     reducer.AuditChange,
		Team:     c.team.Team,
		Section:  string(c.section),
		Version:  c.base,
		ChangeID: c.id,
		Outcome:  outcome,
	})
}

func (h *Handler) refuseChange(w http.ResponseWriter, c change, status int, reason, detail string) {
	h.auditChange(c, reason)
	refuse(w, status, reason, detail)
}

// commit checks the text with the other sections and replicates it. When one of
// those changes in between, the check is made again.
func (h *Handler) commit(w http.ResponseWriter, r *http.Request, c change) {
	ctx, cancel := context.WithTimeout(r.Context(), changeLimit)
	defer cancel()
	for {
		if err := h.catchUp(ctx, c.section); err != nil {
			problem.Write(w, problem.Problem{Status: http.StatusServiceUnavailable, Reason: "no-quorum", Detail: err.Error(), Run: "no", RetryAfter: time.Second})
			return
		}
		checked, messages := h.check(c)
		if err := messages.Err(); err != nil {
			h.refuseText(w, c, messages)
			return
		}
		put := &ledger.Put{
			Section:  c.section,
			Base:     c.base,
			ChangeID: c.id,
			Team:     c.team.Team,
			Text:     c.text,
			Checked:  checked,
		}
		answer, err := h.Node.Propose(ctx, ledger.Command{Put: put})
		if err != nil {
			h.refuseCommit(w, c, err)
			return
		}
		if answer.Result.Put.Code != ledger.PutRecheck {
			h.answer(w, c, *answer.Result.Put)
			return
		}
		select {
		case <-ctx.Done():
			h.refuseCommit(w, c, node.ErrNoLeader)
			return
		case <-h.Node.Clock.After(recheckPause):
		}
	}
}

// catchUp waits until this VM holds every section that was accepted before, so
// that a change is not checked against old ones.
func (h *Handler) catchUp(ctx context.Context, section document.Section) error {
	read, err := h.Node.ReadSection(ctx, section)
	if err != nil {
		return err
	}
	for {
		if view := h.Node.View(); view != nil && !read.Document.After(view.SectionsAt) {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-h.Node.Clock.After(recheckPause):
		}
	}
}

// check parses the changed text together with the sections held here. A resend
// of an accepted change is checked against the same others.
func (h *Handler) check(c change) (ledger.Versions, document.Messages) {
	texts := document.Texts{}
	var versions ledger.Versions
	if view := h.Node.View(); view != nil {
		versions = view.Versions
		for _, section := range view.Sections {
			texts[section.Name] = document.Text{Bytes: section.Text}
		}
	}
	texts[c.section] = document.Text{Bytes: c.text}
	versions.Set(c.section, c.base)
	_, messages := document.Parse(texts)
	return versions, messages
}

// textProblem is the answer to a section with errors.
type textProblem struct {
	problem.Problem
	Messages []document.Message `json:"messages"`
	Text     string             `json:"text"`
}

func (h *Handler) refuseText(w http.ResponseWriter, c change, messages document.Messages) {
	h.auditChange(c, "invalid")
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(http.StatusUnprocessableEntity)
	body := textProblem{Messages: messages, Text: messages.Error()}
	body.Type, body.Title = "about:blank", "the section has errors; nothing was changed"
	body.Status, body.Reason = http.StatusUnprocessableEntity, "invalid"
	json.NewEncoder(w).Encode(body)
}

// refuseCommit answers a change that no quorum confirmed. It may still come
// into force: only a resend with the same Change-Id tells.
func (h *Handler) refuseCommit(w http.ResponseWriter, c change, err error) {
	h.auditChange(c, "unconfirmed")
	problem.Write(w, problem.Problem{
		Status:     http.StatusServiceUnavailable,
		Reason:     "no-quorum",
		Detail:     err.Error() + "; send it again with the same Change-Id to learn the outcome",
		Run:        "unknown",
		RetryAfter: time.Second,
	})
}

func (h *Handler) answer(w http.ResponseWriter, c change, result ledger.PutResult) {
	w.Header().Set("ETag", etag(result.Version))
	switch result.Code {
	case ledger.PutAccepted:
		writeJSON(w, operator.Accepted{Section: string(c.section), Version: result.Version, Index: result.Position.Index, Replayed: result.Replayed})
	case ledger.PutChangeIDReused:
		refuse(w, http.StatusConflict, "change-id-reused", "this Change-Id was used for another change; nothing was changed")
	default:
		refuse(w, http.StatusPreconditionFailed, "version-conflict", "the section has version "+strconv.FormatUint(result.Version, 10)+" now; nothing was changed")
	}
}

// replicaChange is the body of POST /v1/replicas/{id}.
type replicaChange struct {
	Action string `json:"action"` // add, promote or remove
	Peer   string `json:"peer"`   // host:port, for add
}

func (h *Handler) changeReplica(w http.ResponseWriter, r *http.Request, team settings.Operator) {
	const maxBytes = 1 << 10
	var body replicaChange
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBytes)).Decode(&body); err != nil {
		refuse(w, http.StatusBadRequest, "bad-change", "send {\"action\":\"add\",\"peer\":\"IP:PORT\"}")
		return
	}
	kinds := map[string]quorum.ChangeKind{"add": quorum.ChangeAdd, "promote": quorum.ChangePromote, "remove": quorum.ChangeRemove}
	kind, known := kinds[body.Action]
	if !known {
		refuse(w, http.StatusBadRequest, "bad-change", "the action is add, promote or remove")
		return
	}
	id := r.PathValue("id")
	h.Node.RecordAudit(reducer.Audit{Kind: reducer.AuditMember, Team: team.Team, From: id, Outcome: "replica-" + body.Action})
	ctx, cancel := context.WithTimeout(r.Context(), changeLimit)
	defer cancel()
	change := quorum.Change{Kind: kind, Replica: quorum.Replica{ID: quorum.ID(id), Address: body.Peer}}
	answer, err := h.Node.ChangeReplica(ctx, change)
	switch {
	case err != nil:
		refuse(w, http.StatusServiceUnavailable, "no-quorum", err.Error())
	case answer.Refused != 0:
		refuse(w, http.StatusConflict, "replica-change-refused", answer.Refused.Error())
	default:
		w.WriteHeader(http.StatusNoContent)
	}
}
