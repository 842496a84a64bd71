package reducer

import (
	"github.com/heatherwood/heatherwood/internal/ledger"
	"github.com/heatherwood/heatherwood/internal/quarantine"
)

func (s *State) status() Status {
	status := Status{
		VM:       s.Settings.VM,
		Domain:   s.Settings.Domain,
		Region:   s.Settings.Region,
		Role:     "entry",
		Leader:   s.leader.ID,
		Term:     s.leader.Term,
		Document: s.documentAt,
		Stale:    s.stale,
		DiskOK:   true,
	}
	status.Versions = s.Versions()
	s.controlStatus(&status)
	s.fleetStatus(&status)
	for _, c := range s.ways.Ways(s.now) {
		status.Ways = append(status.Ways, WayStatus{Domain: c.Domain, Way: c.To.String(), For: c.Lasted, Why: string(c.Why)})
	}
	status.Helpers, status.Helped = s.detours.Running(), len(s.takenOver)
	return status
}

func (s *State) controlStatus(status *Status) {
	if s.quorum == nil {
		status.Replicas = s.leader.Replicas
		return
	}
	status.Role = s.quorum.Role.String()
	status.Term = s.quorum.Hard.Term
	status.Commit = s.quorum.Commit
	status.Claims = s.ledger.ClaimCount()
	status.Replicas = s.quorum.Config().Voters
	status.Learners = s.quorum.Config().Learners
	status.DiskOK = s.quorum.DiskHealthy()
	status.LogLength = s.quorum.LastIndex() - s.quorum.SnapshotIndex()
}

func (s *State) fleetStatus(status *Status) {
	for _, vm := range s.members.Alive() {
		status.VMs = append(status.VMs, VMStatus{ID: vm.ID, Entry: vm.Entry, Document: vm.Document})
	}
	for _, domain := range s.members.Domains(s.now) {
		status.Domains = append(status.Domains, DomainStatus{
			Name:   domain.Name,
			Region: domain.Region,
			VMs:    domain.VMs,
			Silent: domain.SilentFor,
		})
	}
	for _, owner := range s.owners {
		service := ServiceStatus{Service: owner.Service, Owner: owner.VM}
		if pool := s.pool(owner.Service); pool != nil {
			service.Summary = pool.Summary()
			service.Servers = pool.Servers(s.now)
		}
		status.Services = append(status.Services, service)
	}
	status.Limits = s.limitStatus()
	status.Customers = s.customerStatus()
	status.Shares = s.shareStatus()
	status.Slots = s.slotStatus()
	for _, entry := range s.quarantine.Entries {
		phase := "suspected"
		if entry.Phase == quarantine.Quarantined {
			phase = "quarantined"
		}
		if entry.Lifted {
			phase = "lifted"
		}
		status.Barred = append(status.Barred, QuarantineStatus{
			Fingerprint: hex(entry.Fingerprint),
			Phase:       phase,
			Deaths:      entry.Deaths,
			Until:       entry.Until,
		})
	}
}

// Versions returns the versions of the sections held.
func (s *State) Versions() ledger.Versions {
	var versions ledger.Versions
	for _, section := range s.sections {
		versions.Set(section.Name, section.Version)
	}
	return versions
}
