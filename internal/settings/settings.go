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

// Settings holds the values of one VM's settings file.
type Settings struct {
	ID              string     `toml:"id"`
	Domain          string     `toml:"domain"` // failure domain
	Region          string     `toml:"region"`
	Entry           string     `toml:"entry"`  // host:port for callers, backend servers and operators
	Peer            string     `toml:"peer"`   // host:port for other VMs
	PeerListen      string     `toml:"listen"` // host:port to listen on for other VMs, if it differs from peer
	Seeds           []string   `toml:"seeds"`  // peer addresses of other VMs
	DataDir         string     `toml:"data"`   // data folder; only a VM with one can be a control replica
	SharedKey       string     `toml:"key"`    // secret shared by the site's VMs
	LogLevel        string     `toml:"log_level"`
	MemoryLimitMiB  int        `toml:"memory_limit"` // MiB that the garbage collector aims to stay below; 0 sets no limit
	LinkMegabits    float64    `toml:"link"`         // Mbit/s of the VM's link, which downloads leave a part of free; 0 if unknown
	InitialReplicas []Replica  `toml:"replica"`      // control replicas at the first start
	ManageReplicas  bool       `toml:"seats"`        // replicas are added and replaced automatically, and identified by their peer addresses
	Bootstrap       bool       `toml:"first"`        // with seats: this is the first start of the whole site
	Operators       []Operator `toml:"operator"`     // teams that may read and write sections
}

// Replica identifies a control replica.
type Replica struct {
	ID   string `toml:"id"`
	Peer string `toml:"peer"` // host:port
}

// Operator is a team with its token and the sections that it owns.
type Operator struct {
	Team     string   `toml:"team"`
	Token    string   `toml:"token"`
	Sections []string `toml:"sections"`
}

// Limits of the values.
const (
	minSecretBytes     = 16
	maxSecretBytes     = 256
	maxSeeds           = 1024
	maxInitialReplicas = 7
	minMemoryLimitMiB  = 32
)

// Read reads and checks a settings file.
func Read(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	return Parse(path, text)
}

// Parse decodes and checks the text of a settings file. One error reports all
// invalid values; path is only used in errors.
func Parse(path string, text []byte) (Settings, error) {
	var s Settings
	decoder := toml.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		return Settings{}, addPosition(path, err)
	}
	if err := s.Check(); err != nil {
		return Settings{}, fmt.Errorf("settings %s: %w", path, err)
	}
	return s, nil
}

// addPosition adds the file, and line and column where known, to a decoder's error.
func addPosition(path string, err error) error {
	var decodeError *toml.DecodeError
	if errors.As(err, &decodeError) {
		line, column := decodeError.Position()
		return fmt.Errorf("%s:%d:%d: error: %w\n%s", path, line, column, err, decodeError.String())
	}
	var unknownKeys *toml.StrictMissingError
	if errors.As(err, &unknownKeys) {
		return fmt.Errorf("%s: error: unknown keys\n%s", path, unknownKeys.String())
	}
	return fmt.Errorf("%s: %w", path, err)
}

// Check returns one error that joins all invalid values, or nil.
func (s *Settings) Check() error {
	var errs []error
	rejectIf := func(invalid bool, format string, args ...any) {
		if invalid {
			errs = append(errs, fmt.Errorf(format, args...))
		}
	}
	rejectIf(s.ID == "" || len(s.ID) > document.MaxNameBytes, "id: give the VM a name of 1 to %d bytes", document.MaxNameBytes)
	rejectIf(s.Domain == "", "domain: name the failure domain of the VM")
	rejectIf(s.Region == "", "region: name the region of the VM")
	rejectIf(s.Entry != "" && !isValidAddress(s.Entry), "entry: %q is not an IP address with a port", s.Entry)
	rejectIf(!isValidAddress(s.Peer), "peer: %q is not an IP address with a port", s.Peer)
	rejectIf(s.PeerListen != "" && !isValidAddress(s.PeerListen), "listen: %q is not an IP address with a port", s.PeerListen)
	rejectIf(!isValidSecret(s.SharedKey), "key: use %d to %d bytes, the same on all VMs of the site", minSecretBytes, maxSecretBytes)
	rejectIf(!(s.LinkMegabits >= 0), "link: use the Mbit/s of the VM's link, or 0 if it is unknown")
	rejectIf(s.MemoryLimitMiB < 0 || s.MemoryLimitMiB > 0 && s.MemoryLimitMiB < minMemoryLimitMiB, "memory_limit: use at least %d MiB, or 0 for none", minMemoryLimitMiB)
	rejectIf(len(s.Seeds) > maxSeeds, "seeds: at most %d", maxSeeds)
	for _, seed := range s.Seeds {
		rejectIf(!isValidAddress(seed), "seeds: %q is not an IP address with a port", seed)
	}
	rejectIf(len(s.InitialReplicas) > maxInitialReplicas, "replica: at most %d control replicas", maxInitialReplicas)
	for _, replica := range s.InitialReplicas {
		rejectIf(replica.ID == "" || !isValidAddress(replica.Peer), "replica: %q needs an id and a peer address", replica.ID)
	}
	rejectIf(s.DataDir != "" && len(s.InitialReplicas) == 0 && (!s.ManageReplicas || s.Bootstrap), "replica: a VM with a data folder needs the list of control replicas")
	s.checkOperators(rejectIf)
	return errors.Join(errs...)
}

func (s *Settings) checkOperators(rejectIf func(bool, string, ...any)) {
	for _, operator := range s.Operators {
		rejectIf(operator.Team == "", "operator: name the team")
		rejectIf(!isValidSecret(operator.Token), "operator %q: token must have %d to %d bytes", operator.Team, minSecretBytes, maxSecretBytes)
		for _, section := range operator.Sections {
			rejectIf(!document.Section(section).Known(), "operator %q: section %q does not exist; use %v", operator.Team, section, document.Written())
		}
	}
}

// MayWrite reports whether the team owns the section.
func (o Operator) MayWrite(section document.Section) bool {
	return slices.Contains(o.Sections, string(section))
}

func isValidAddress(address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	return err == nil && parsed.Port() != 0
}

func isValidSecret(secret string) bool {
	return len(secret) >= minSecretBytes && len(secret) <= maxSecretBytes
}
