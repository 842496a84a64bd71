package operatorhttp

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/heatherwood/heatherwood/internal/node"
	"github.com/heatherwood/heatherwood/internal/problem"
	"github.com/heatherwood/heatherwood/internal/reducer"
	"github.com/heatherwood/heatherwood/internal/settings"
)

// Handler serves the paths below /v1 that are for operators.
type Handler struct {
	Node *node.Node
	mux  *http.ServeMux
}

// New returns the handler of a VM.
func New(n *node.Node) *Handler {
	h := &Handler{Node: n, mux: http.NewServeMux()}
	h.mux.HandleFunc("GET /v1/sections/{name}", h.authorised(h.getSection))
	h.mux.HandleFunc("PUT /v1/sections/{name}", h.authorised(h.putSection))
	h.mux.HandleFunc("GET /v1/sections/{name}/history", h.authorised(h.getHistory))
	h.mux.HandleFunc("GET /v1/status", h.authorised(h.getStatus))
	h.mux.HandleFunc("GET /v1/audit", h.authorised(h.getAudit))
	h.mux.HandleFunc("DELETE /v1/quarantine/{fingerprint}", h.authorised(h.liftQuarantine))
	h.mux.HandleFunc("POST /v1/replicas/{id}", h.authorised(h.changeReplica))
	h.mux.HandleFunc("GET /metrics", h.getMetrics)
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

type operatorHandler func(w http.ResponseWriter, r *http.Request, operator settings.Operator)

// authorised finds the team of the bearer token. All tokens are compared, each
// in constant time, so that the time tells nothing.
func (h *Handler) authorised(next operatorHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		token, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		operator, known := h.operator(token)
		if !found || !known {
			w.Header().Set("WWW-Authenticate", "Bearer")
			refuse(w, http.StatusUnauthorized, "unauthorised", "send the token of your team as \"Authorization: Bearer TOKEN\"")
			return
		}
		next(w, r, operator)
	}
}

func (h *Handler) operator(token string) (settings.Operator, bool) {
	given := sha256.Sum256([]byte(token))
	match := -1
	for i, operator := range h.Node.Settings.Operators {
		own := sha256.Sum256([]byte(operator.Token))
		if subtle.ConstantTimeCompare(given[:], own[:]) == 1 {
			match = i
		}
	}
	if match < 0 {
		return settings.Operator{}, false
	}
	return h.Node.Settings.Operators[match], true
}

func refuse(w http.ResponseWriter, status int, reason, detail string) {
	problem.Write(w, problem.Problem{Status: status, Reason: reason, Detail: detail})
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	encoder.Encode(value)
}

func (h *Handler) getStatus(w http.ResponseWriter, r *http.Request, _ settings.Operator) {
	status, err := h.Node.Status(r.Context())
	if err != nil {
		refuse(w, http.StatusServiceUnavailable, "stopping", err.Error())
		return
	}
	writeJSON(w, status)
}

func (h *Handler) getMetrics(w http.ResponseWriter, r *http.Request) {
	status, err := h.Node.Status(r.Context())
	if err != nil {
		refuse(w, http.StatusServiceUnavailable, "stopping", err.Error())
		return
	}
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	h.Node.Metrics.Write(w, status, h.Node.Network.BytesSent.Load())
}

func (h *Handler) liftQuarantine(w http.ResponseWriter, r *http.Request, operator settings.Operator) {
	const base, bits = 16, 64
	fingerprint, err := strconv.ParseUint(r.PathValue("fingerprint"), base, bits)
	if err != nil {
		refuse(w, http.StatusBadRequest, "bad-fingerprint", "give the 16 hexadecimal digits that the status shows")
		return
	}
	h.Node.RecordAudit(reducer.Audit{Kind: reducer.AuditQuarantine, Team: operator.Team, Key: r.PathValue("fingerprint"), Outcome: "lift-asked"})
	h.Node.Apply(reducer.LiftQuarantine{Fingerprint: fingerprint})
	w.WriteHeader(http.StatusNoContent)
}
