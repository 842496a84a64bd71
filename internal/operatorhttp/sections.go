package operatorhttp

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/heatherwood/heatherwood/internal/intake"
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
	commitTimeout = 10 * time.Second       // of a call that needs a quorum
	recheckDelay  = 100 * time.Millisecond // between checks for newer sections
)

// sectionFromPath returns the section that the path names, or answers 404.
func sectionFromPath(w http.ResponseWriter, r *http.Request) (document.Section, bool) {
	section := document.Section(r.PathValue("name"))
	if !section.Known() {
		refuse(w, http.StatusNotFound, "unknown-section", "sections are places, services, ranks, stops, routes and customers")
		return "", false
	}
	return section, true
}

func formatETag(version uint64) string { return strconv.Quote(strconv.FormatUint(version, 10)) }

func (h *Handler) getSection(w http.ResponseWriter, r *http.Request, _ settings.Operator) {
	name, known := sectionFromPath(w, r)
	if !known {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), commitTimeout)
	defer cancel()
	result, err := h.Node.ReadSection(ctx, name)
	if err != nil {
		problem.Write(w, problem.Problem{Status: http.StatusServiceUnavailable, Reason: "no-quorum", Detail: err.Error(), RetryAfter: time.Second})
		return
	}
	w.Header().Set("ETag", formatETag(result.Section.Version))
	w.Header().Set("Content-Type", "application/toml")
	w.Write(result.Section.Text)
}

func (h *Handler) getHistory(w http.ResponseWriter, r *http.Request, _ settings.Operator) {
	name, known := sectionFromPath(w, r)
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
		item := operator.Version{Version: version.Version, At: version.At, Team: version.Team, ChangeID: version.ChangeID, Index: version.Position.Index}
		if withText {
			item.Text = string(version.Text)
		}
		list = append(list, item)
	}
	writeJSON(w, list)
}

// sectionChange holds the parts of a PUT of a section.
type sectionChange struct {
	section     document.Section
	baseVersion uint64 // version that the operator changed
	id          string // from the Change-Id header
	text        []byte
	author      settings.Operator
}

func (h *Handler) putSection(w http.ResponseWriter, r *http.Request, author settings.Operator) {
	section, known := sectionFromPath(w, r)
	if !known {
		return
	}
	c := sectionChange{section: section, author: author, id: r.Header.Get("Change-Id")}
	if !author.MayWrite(section) {
		h.refuseChange(w, c, http.StatusForbidden, "not-owner", "team "+author.Team+" does not own this section")
		return
	}
	if c.id == "" || len(c.id) > ledger.MaxKeyBytes {
		h.refuseChange(w, c, http.StatusBadRequest, "change-id-missing", "send a Change-Id of 1 to 256 bytes; use the same one when you send the change again")
		return
	}
	var err error
	if c.baseVersion, err = parseIfMatch(r.Header.Get("If-Match")); err != nil {
		h.refuseChange(w, c, http.StatusPreconditionRequired, "if-match-missing", err.Error())
		return
	}
	text, share, err := h.Node.Orders.ReadBody(w, r, h.Node.Clock, document.MaxSectionBytes)
	defer share.Release()
	c.text = text
	switch {
	case errors.Is(err, intake.ErrFull):
		h.refuseChange(w, c, http.StatusServiceUnavailable, "no-room", "this VM holds as many orders as it may; ask another one")
		return
	case errors.Is(err, intake.ErrLate):
		h.refuseChange(w, c, http.StatusServiceUnavailable, "section-late", "the section did not arrive in time; send it again")
		return
	case errors.Is(err, intake.ErrTooLarge):
		h.refuseChange(w, c, http.StatusRequestEntityTooLarge, "section-too-large", "a section has at most 32 MiB")
		return
	case err != nil:
		h.refuseChange(w, c, http.StatusBadRequest, "section-cut", "the section did not arrive whole")
		return
	}
	h.commitChange(w, r, c)
}

var errMissingIfMatch = errors.New("send If-Match with the version that you changed, such as \"3\"; a section never written has version \"0\"")

// parseIfMatch returns the version that an If-Match header names, quoted or not, with
// or without the weak prefix W/.
func parseIfMatch(header string) (uint64, error) {
	text := strings.Trim(strings.TrimPrefix(header, "W/"), `"`)
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, errMissingIfMatch
	}
	return version, nil
}

func (h *Handler) auditChange(c sectionChange, outcome string) {
	h.Node.RecordAudit(reducer.Audit{
		Kind:     reducer.AuditChange,
		Team:     c.author.Team,
		Section:  string(c.section),
		Version:  c.baseVersion,
		ChangeID: c.id,
		Outcome:  outcome,
	})
}

func (h *Handler) refuseChange(w http.ResponseWriter, c sectionChange, status int, reason, detail string) {
	h.auditChange(c, reason)
	refuse(w, status, reason, detail)
}

// commitChange checks the text together with the other sections and replicates it. If
// one of those changes in between, it checks again.
func (h *Handler) commitChange(w http.ResponseWriter, r *http.Request, c sectionChange) {
	ctx, cancel := context.WithTimeout(r.Context(), commitTimeout)
	defer cancel()
	for {
		if err := h.awaitSections(ctx, c.section); err != nil {
			problem.Write(w, problem.Problem{Status: http.StatusServiceUnavailable, Reason: "no-quorum", Detail: err.Error(), Run: "no", RetryAfter: time.Second})
			return
		}
		checkedVersions, messages := h.checkChange(c)
		if err := messages.Err(); err != nil {
			h.refuseInvalid(w, c, messages)
			return
		}
		put := &ledger.Put{
			Section:  c.section,
			Base:     c.baseVersion,
			ChangeID: c.id,
			Team:     c.author.Team,
			Text:     c.text,
			Checked:  checkedVersions,
		}
		answer, err := h.Node.Propose(ctx, ledger.Command{Put: put})
		if err != nil {
			h.refuseUnconfirmed(w, c, err)
			return
		}
		if answer.Result.Put.Code != ledger.PutRecheck {
			h.answerPut(w, c, *answer.Result.Put)
			return
		}
		select {
		case <-ctx.Done():
			h.refuseUnconfirmed(w, c, node.ErrNoLeader)
			return
		case <-h.Node.Clock.After(recheckDelay):
		}
	}
}

// awaitSections waits until this VM holds every section that was accepted before the
// call, so that a change is not checked against outdated sections. The section may be
// any one: its read returns the position of the whole document.
func (h *Handler) awaitSections(ctx context.Context, section document.Section) error {
	result, err := h.Node.ReadSection(ctx, section)
	if err != nil {
		return err
	}
	for {
		if view := h.Node.View(); view != nil && !result.Document.After(view.SectionsAt) {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-h.Node.Clock.After(recheckDelay):
		}
	}
}

// checkChange parses the changed text together with the other sections held by this
// VM. It returns the versions that the check used, with the base version for the
// changed section. A resend of an accepted change is checked against the same other
// sections.
func (h *Handler) checkChange(c sectionChange) (ledger.Versions, document.Messages) {
	texts := document.Texts{}
	var versions ledger.Versions
	if view := h.Node.View(); view != nil {
		versions = view.Versions
		for _, section := range view.Sections {
			texts[section.Name] = document.Text{Bytes: section.Text}
		}
	}
	texts[c.section] = document.Text{Bytes: c.text}
	versions.Set(c.section, c.baseVersion)
	_, messages := document.Parse(texts)
	return versions, messages
}

// invalidSectionProblem is the body of the answer to a section with errors.
type invalidSectionProblem struct {
	problem.Problem
	Messages []document.Message `json:"messages"`
	Text     string             `json:"text"`
}

func (h *Handler) refuseInvalid(w http.ResponseWriter, c sectionChange, messages document.Messages) {
	h.auditChange(c, "invalid")
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(http.StatusUnprocessableEntity)
	body := invalidSectionProblem{Messages: messages, Text: messages.Error()}
	body.Type, body.Title = "about:blank", "the section has errors; nothing was changed"
	body.Status, body.Reason = http.StatusUnprocessableEntity, "invalid"
	json.NewEncoder(w).Encode(body)
}

// refuseUnconfirmed answers a change that no quorum confirmed. The change may still
// take effect; resending it with the same Change-Id shows the outcome.
func (h *Handler) refuseUnconfirmed(w http.ResponseWriter, c sectionChange, err error) {
	h.auditChange(c, "unconfirmed")
	problem.Write(w, problem.Problem{
		Status:     http.StatusServiceUnavailable,
		Reason:     "no-quorum",
		Detail:     err.Error() + "; send it again with the same Change-Id to learn the outcome",
		Run:        "unknown",
		RetryAfter: time.Second,
	})
}

// answerPut answers with the result of a replicated change.
func (h *Handler) answerPut(w http.ResponseWriter, c sectionChange, result ledger.PutResult) {
	w.Header().Set("ETag", formatETag(result.Version))
	switch result.Code {
	case ledger.PutAccepted:
		writeJSON(w, operator.Accepted{Section: string(c.section), Version: result.Version, Index: result.Position.Index, Replayed: result.Replayed})
	case ledger.PutChangeIDReused:
		refuse(w, http.StatusConflict, "change-id-reused", "this Change-Id was used for another change; nothing was changed")
	default:
		refuse(w, http.StatusPreconditionFailed, "version-conflict", "the section has version "+strconv.FormatUint(result.Version, 10)+" now; nothing was changed")
	}
}

// replicaChangeBody is the body of a POST to /v1/replicas/{id}.
type replicaChangeBody struct {
	Action string `json:"action"` // add, promote or remove
	Peer   string `json:"peer"`   // host:port, for add
}

func (h *Handler) changeReplica(w http.ResponseWriter, r *http.Request, author settings.Operator) {
	const maxBytes = 1 << 10
	var body replicaChangeBody
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
	h.Node.RecordAudit(reducer.Audit{Kind: reducer.AuditMember, Team: author.Team, From: id, Outcome: "replica-" + body.Action})
	ctx, cancel := context.WithTimeout(r.Context(), commitTimeout)
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
