package operatorhttp

import (
	"net/http"
	"strconv"

	"github.com/heatherwood/heatherwood/internal/settings"
)

const (
	defaultAuditRecords = 100
	maxAuditRecords     = 10_000
)

// getAudit returns the latest records of this VM's audit trail, the newest last.
func (h *Handler) getAudit(w http.ResponseWriter, r *http.Request, _ settings.Operator) {
	limit := defaultAuditRecords
	if text := r.URL.Query().Get("limit"); text != "" {
		value, err := strconv.Atoi(text)
		if err != nil || value < 1 || value > maxAuditRecords {
			refuse(w, http.StatusBadRequest, "bad-limit", "limit is 1 to 10000")
			return
		}
		limit = value
	}
	writeJSON(w, h.Node.RecentAudit(limit))
}
