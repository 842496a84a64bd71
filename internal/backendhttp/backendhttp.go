package backendhttp

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/heatherwood/heatherwood/internal/node"
	"github.com/heatherwood/heatherwood/internal/problem"
	"github.com/heatherwood/heatherwood/internal/routing"
)

// PathPrefix is the path under which backend servers announce themselves; the
// server's id follows.
const PathPrefix = "/v1/backends/"

const maxAnnouncementBytes = 4 << 10

// announcementBody is the JSON body of an announcement.
type announcementBody struct {
	Address     string  `json:"address"`
	Service     string  `json:"service"`
	Slots       int     `json:"slots"`
	Connections int     `json:"connections"`
	Load        float64 `json:"load"`
	State       string  `json:"state"`
	Start       int64   `json:"start"`    // milliseconds since 1970; distinguishes starts under the same id
	Sequence    uint64  `json:"sequence"` // increases with each announcement of a start
}

// announcementReply tells a server when to renew its announcement; both values are
// durations such as 5s.
type announcementReply struct {
	RenewAfter string `json:"renewAfter"`
	Lifetime   string `json:"lifetime"`
}

// Handler serves PUT and DELETE /v1/backends/{id}.
type Handler struct{ Node *node.Node }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := strings.TrimPrefix(r.URL.Path, PathPrefix)
	if len(id) == 0 || len(id) > routing.MaxIDBytes {
		refuse(w, http.StatusBadRequest, "bad-id", "the id must be 1 to 128 bytes")
		return
	}
	switch r.Method {
	case http.MethodPut:
		h.put(w, r, id)
	case http.MethodDelete:
		h.announce(w, r, routing.Announcement{ID: id, Service: r.URL.Query().Get("service")}, true)
	default:
		w.Header().Set("Allow", "PUT, DELETE")
		refuse(w, http.StatusMethodNotAllowed, "bad-method", "use PUT or DELETE")
	}
}

func refuse(w http.ResponseWriter, status int, reason, detail string) {
	problem.Write(w, problem.Problem{Status: status, Reason: reason, Detail: detail})
}

func (h *Handler) put(w http.ResponseWriter, r *http.Request, id string) {
	announcement, err := DecodeAnnouncement(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
	if err != nil {
		refuse(w, http.StatusBadRequest, "bad-announcement", err.Error())
		return
	}
	announcement.ID = id
	h.announce(w, r, announcement, false)
}

func (h *Handler) announce(w http.ResponseWriter, r *http.Request, announcement routing.Announcement, withdrawn bool) {
	if withdrawn && announcement.Service == "" {
		announcement.Service = h.findService(r, announcement.ID)
	}
	result, err := h.Node.Announce(r.Context(), announcement, withdrawn)
	if err != nil {
		problem.Write(w, problem.Problem{
			Status:     http.StatusServiceUnavailable,
			Reason:     "owner-unreachable",
			Detail:     "the VM that owns the service was not reached; announce again",
			RetryAfter: routing.AnnouncementTTL / 4,
		})
		return
	}
	if result.Unknown {
		problem.Write(w, problem.Problem{
			Status:     http.StatusServiceUnavailable,
			Reason:     "unknown-server",
			Detail:     "this VM does not know the server; withdraw it again, here or at another VM",
			RetryAfter: routing.AnnouncementTTL / 4,
		})
		return
	}
	if result.Refused != "" {
		refuse(w, http.StatusUnprocessableEntity, "announcement-refused", result.Refused)
		return
	}
	if withdrawn {
		h.closeServer(w, r, announcement.ID, result.Close)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(announcementReply{RenewAfter: result.RenewAfter.String(), Lifetime: routing.AnnouncementTTL.String()})
}

const closeTimeout = 3500 * time.Millisecond // wait for a quorum

// closeServer records that starts of a server that withdraws get no new requests, and answers
// the call.
func (h *Handler) closeServer(w http.ResponseWriter, r *http.Request, id string, starts []int64) {
	ctx, cancel := context.WithTimeout(r.Context(), closeTimeout)
	defer cancel()
	if err := h.Node.CloseServer(ctx, id, starts...); err != nil {
		problem.Write(w, problem.Problem{
			Status:     http.StatusServiceUnavailable,
			Reason:     "no-quorum",
			Detail:     "the withdrawal was not recorded; withdraw it again, here or at another VM",
			RetryAfter: routing.AnnouncementTTL / 4,
		})
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// findService returns the service of a server that withdraws without naming it, or
// "" if the VM's status does not list the server.
func (h *Handler) findService(r *http.Request, id string) string {
	status, err := h.Node.Status(r.Context())
	if err != nil {
		return ""
	}
	for _, service := range status.Services {
		for _, server := range service.Servers {
			if server.ID == id {
				return service.Service
			}
		}
	}
	return ""
}
