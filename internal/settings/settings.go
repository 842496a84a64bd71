package settings

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"slices"

	"github.com/pelletier/go-toml/v2"

	"github.com/heatherwood/heatherwood/pkg/document"
)

// Settings is what one VM learns from its file.
type Settings struct {
	ID              string     `toml:"id"`
	Domain          string     `toml:"domain"`
	Region          string     `toml:"region"`
	Entry           string     `toml:"entry"`  // host:port for callers, backend servers and operators
	Peer            string     `toml:"peer"`   // host:port for other VMs
	PeerListen      string     `toml:"listen"` // host:port to listen on for other VMs, where it differs from peer
	Seeds           []string   `toml:"seeds"`  // peer addresses of other VMs
	DataDir         string     `toml:"data"`   // data folder; a VM with one is a control replica
	SharedKey       string     `toml:"key"`    // secret shared by the site's VMs
	LogLevel        string     `toml:"log_level"`
	MemoryLimitMiB  int        `toml:"memory_limit"` // MiB that the garbage collector aims to stay below; 0 sets none
	InitialReplicas []Replica  `toml:"replica"`      // control replicas at the first start
	ManageReplicas  bool       `toml:"seats"`        // the replica set grows and mends itself; a replica is named by its peer address
	Bootstrap       bool       `toml:"first"`        // with seats: the whole site starts for the first time
	Operators       []Operator `toml:"operator"`     // teams that may read and write sections
}

// Replica names a control replica.
type Replica struct {
	ID   string `toml:"id"`
	Peer string `toml:"peer"`
}

// Operator is a team with its token and the sections that it owns.
type Operator struct {
	Team     string   `toml:"team"`
	Token    string   `toml:"token"`
	Sections []string `toml:"sections"`
}

const (
	minSecretBytes = 16
	maxSecretBytes = 256
	maxSeeds       = 1024
	maxReplicas    = 7
	minMemory      = 32 // MiB
)

// Read reads and checks a settings file.
func Read(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	return Parse(path, text)
}

// Parse reads and checks the text of a settings file; all faults are reported
// together.
func Parse(path string, text []byte) (Settings, error) {
	var s Settings
	decoder := toml.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		return Settings{}, describe(path, err)
	}
	if err := s.Check(); err != nil {
		return Settings{}, fmt.Errorf("settings %s: %w", path, err)
	}
	return s, nil
}

// describe adds file, line and column to a decoder's error.
func describe(path string, err error) error {
	var broken *toml.DecodeError
	if errors.As(err, &broken) {
		row, column := broken.Position()
		return fmt.Errorf("%s:%d:%d: error: %w\n%s", path, row, column, err, broken.String())
	}
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		return fmt.Errorf("%s: error: unknown keys\n%s", path, strict.String())
	}
	return fmt.Errorf("%s: %w", path, err)
}

// Check returns all faults of the values.
func (s *Settings) Check() error {
	var faults []error
	fault := func(bad bool, format string, args ...any) {
		if bad {
			faults = append(faults, fmt.Errorf(format, args...))
		}
	}
	fault(s.ID == "" || len(s.ID) > document.MaxNameBytes, "id: give the VM a name of 1 to %d bytes", document.MaxNameBytes)
	fault(s.Domain == "", "domain: name the failure domain of the VM")
	fault(s.Region == "", "region: name the region of the VM")
	fault(s.Entry != "" && !addressOK(s.Entry), "entry: %q is not an IP number with a port", s.Entry)
	fault(!addressOK(s.Peer), "peer: %q is not an IP number with a port", s.Peer)
	fault(s.PeerListen != "" && !addressOK(s.PeerListen), "listen: %q is not an IP number with a port", s.PeerListen)
	fault(!secretOK(s.SharedKey), "key: use %d to %d bytes, the same on all VMs of the site", minSecretBytes, maxSecretBytes)
	fault(s.MemoryLimitMiB < 0 || s.MemoryLimitMiB > 0 && s.MemoryLimitMiB < minMemory, "memory_limit: use at least %d MiB, or 0 for none", minMemory)
	fault(len(s.Seeds) > maxSeeds, "seeds: at most %d", maxSeeds)
	for _, seed := range s.Seeds {
		fault(!addressOK(seed), "seeds: %q is not an IP number with a port", seed)
	}
	fault(len(s.InitialReplicas) > maxReplicas, "replica: at most %d control replicas", maxReplicas)
	for _, replica := range s.InitialReplicas {
		fault(replica.ID == "" || !addressOK(replica.Peer), "replica: %q needs an id and a peer address", replica.ID)
	}
	fault(s.DataDir != "" && len(s.InitialReplicas) == 0 && (!s.ManageReplicas || s.Bootstrap), "replica: a VM with a data folder needs the list of control replicas")
	s.checkOperators(fault)
	return errors.Join(faults...)
}

func (s *Settings) checkOperators(fault func(bool, string, ...any)) {
	for _, operator := range s.Operators {
		fault(operator.Team == "", "operator: name the team")
		fault(!secretOK(operator.Token), "operator %q: token must have %d to %d bytes", operator.Team, minSecretBytes, maxSecretBytes)
		for _, section := range operator.Sections {
			fault(!document.Section(section).Known(), "operator %q: section %q does not exist; use %v", operator.Team, section, document.Written())
		}
	}
}

// MayWrite reports whether the team owns the section.
func (o Operator) MayWrite(section document.Section) bool {
	return slices.Contains(o.Sections, string(section))
}

func addressOK(address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	return err == nil && parsed.Port() != 0
}

func secretOK(secret string) bool {
	return len(secret) >= minSecretBytes && len(secret) <= maxSecretBytes
}
