package member

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Versions is an encoded list of the versions of all failure domains' summaries: a
// hash of the domains' names, and one byte for each domain in the order of names. It
// goes with every message, where a summary itself goes with few, and shows that a
// domain is alive.
type Versions []byte

const (
	versionsHeaderBytes = 4
	versionModulus      = 255 // versions are told apart modulo this
	versionUnheard      = 255 // byte of a domain that the sender has not heard lately
)

// versions returns the versions of the domains that this VM has heard lately.
func (s *State) versions(now time.Time) Versions {
	v := binary.LittleEndian.AppendUint32(make(Versions, 0, versionsHeaderBytes+len(s.domains)), s.domainNamesHash())
	for i := range s.domains {
		d := &s.domains[i]
		if !d.fresh(now) {
			v = append(v, versionUnheard)
			continue
		}
		v = append(v, byte(d.heardVersion%versionModulus))
	}
	return v
}

func (s *State) domainNamesHash() uint32 {
	digest := xxhash.New()
	for _, d := range s.domains {
		digest.WriteString(d.Name)
		digest.Write([]byte{0})
	}
	return uint32(digest.Sum64())
}

// mergeVersions notes which failure domains have newer summaries than this VM has
// heard of. A sender tells only what it heard lately, so that versions which are newer
// by less than half the modulus are told from older ones.
func (s *State) mergeVersions(v Versions, now time.Time) {
	if len(v) != versionsHeaderBytes+len(s.domains) || binary.LittleEndian.Uint32(v) != s.domainNamesHash() {
		return
	}
	for i, version := range v[versionsHeaderBytes:] {
		d := &s.domains[i]
		if version == versionUnheard || d.Version == 0 {
			continue
		}
		ahead := (uint64(version) + versionModulus - d.heardVersion%versionModulus) % versionModulus
		if ahead > 0 && ahead < versionModulus/2 {
			d.heardVersion, d.heardAt = d.heardVersion+ahead, now
		}
	}
}

// heard records that a version of the domain's summary exists.
func (d *domainRecord) heard(version uint64, now time.Time) {
	if version > d.heardVersion {
		d.heardVersion, d.heardAt = version, now
	}
}

// fresh reports whether the domain was heard lately and its summary is known.
func (d *domainRecord) fresh(now time.Time) bool {
	return d.Version > 0 && now.Sub(d.heardAt) < DomainSilentAfter
}
