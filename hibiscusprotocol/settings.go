package hibiscusprotocol

import (
	"net/netip"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
)

// Settings files are YAML, one for each process. Unknown fields, missing values and invalid addresses are errors that contain
// the file name, and the line and column if the YAML parser reports them.

const (
	defaultDrainTime = 2 * time.Second
	// stopMargin is the part of stop_grace_s that is reserved for answers in flight and the exit of the process, before it is
	// killed.
	stopMargin = 600 * time.Millisecond
	// minMemoryMB is below the smallest VM; a process that serves nothing takes 24 MB. maxMemoryMB is a terabyte.
	minMemoryMB = 64
	maxMemoryMB = 1 << 20
	// maxConnections is the number of ports of an address, a bound on the connections of one client address.
	maxConnections = 1 << 16
	// minSharedKeyBytes is the length below which a shared key is refused.
	minSharedKeyBytes = 16
	// maxFarFactor bounds far_factor.
	maxFarFactor = 100
)

type settingsFile struct {
	CallerAddress     string   `yaml:"caller_address"`
	SessionAddress    string   `yaml:"session_address"`
	AdvertisedAddress string   `yaml:"advertised_address"`
	EndpointAddress   string   `yaml:"endpoint_address"`
	PlatformAddress   string   `yaml:"platform_address"`
	FailureDomain     string   `yaml:"failure_domain"`
	SharedKey         string   `yaml:"shared_key"`
	SeedEntries       []string `yaml:"seed_entries"`
	DrainMS           *int64   `yaml:"drain_ms"`
	StopGraceS        int64    `yaml:"stop_grace_s"`
	FarFactor         float64  `yaml:"far_factor"`
	ReadyAddress      string   `yaml:"ready_address"`
	MetricsAddress    string   `yaml:"metrics_address"`
	OperatorToken     string   `yaml:"operator_token"`
	ViewerToken       string   `yaml:"viewer_token"`
	MemoryMB          int64    `yaml:"memory_mb"`
	MaxConnections    int64    `yaml:"max_connections"`
	MaxPerAddress     int64    `yaml:"max_connections_per_address"`
	MaxHeadMB         int64    `yaml:"max_head_mb"`
	MaxBodyMB         int64    `yaml:"max_body_mb"`
}

// EntrySettings are the settings of an entry process.
type EntrySettings struct {
	file settingsFile
}

// AgentSettings are the settings of an agent process.
type AgentSettings struct {
	file settingsFile
}

// LoadEntrySettings reads and checks the settings file of an entry; its errors are marked ErrBadSettings.
func LoadEntrySettings(path string) (EntrySettings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return EntrySettings{}, errors.Mark(err, ErrBadSettings)
	}
	return ParseEntrySettings(path, text)
}

// ParseEntrySettings parses the settings of an entry; its errors have name as the file and are marked ErrBadSettings.
func ParseEntrySettings(name string, text []byte) (EntrySettings, error) {
	file, err := parseSettings(name, text)
	if err != nil {
		return EntrySettings{}, err
	}
	for _, next := range []error{
		checkOptionalAddress(name, "platform_address", file.PlatformAddress),
		checkOptionalAddress(name, "ready_address", file.ReadyAddress),
		checkOptionalAddress(name, "advertised_address", file.AdvertisedAddress),
		checkOptionalAddress(name, "metrics_address", file.MetricsAddress),
		checkAddress(name, "caller_address", file.CallerAddress), checkAddress(name, "session_address", file.SessionAddress),
		checkFarFactor(name, file.FarFactor),
		checkToken(name, "operator_token", file.OperatorToken), checkToken(name, "viewer_token", file.ViewerToken),
	} {
		err = errors.CombineErrors(err, next)
	}
	return EntrySettings{file: file}, err
}

// LoadAgentSettings reads and checks the settings file of an agent; its errors are marked ErrBadSettings.
func LoadAgentSettings(path string) (AgentSettings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return AgentSettings{}, errors.Mark(err, ErrBadSettings)
	}
	return ParseAgentSettings(path, text)
}

// ParseAgentSettings parses the settings of an agent; its errors have name as the file and are marked ErrBadSettings.
func ParseAgentSettings(name string, text []byte) (AgentSettings, error) {
	file, err := parseSettings(name, text)
	if err != nil {
		return AgentSettings{}, err
	}
	err = errors.CombineErrors(checkAddress(name, "endpoint_address", file.EndpointAddress),
		errors.CombineErrors(checkOptionalAddress(name, "metrics_address", file.MetricsAddress),
			checkToken(name, "viewer_token", file.ViewerToken)))
	return AgentSettings{file: file}, err
}

func parseSettings(name string, text []byte) (settingsFile, error) {
	var file settingsFile
	if err := unmarshalYAML(text, &file); err != nil {
		return file, errors.Mark(errors.Newf("%s: %s", name, yaml.FormatError(err, false, false)), ErrBadSettings)
	}
	if len(file.SharedKey) < minSharedKeyBytes {
		return file, errors.Mark(errors.Newf("%s: shared_key must have at least %d bytes", name, minSharedKeyBytes), ErrBadSettings)
	}
	if file.FailureDomain == "" {
		return file, errors.Mark(errors.Newf("%s: failure_domain is missing", name), ErrBadSettings)
	}
	for _, next := range []error{
		checkNumber(name, "memory_mb", file.MemoryMB, minMemoryMB, maxMemoryMB),
		checkNumber(name, "max_connections", file.MaxConnections, 1, maxConnections),
		checkNumber(name, "max_connections_per_address", file.MaxPerAddress, 1, maxConnections),
		checkNumber(name, "max_head_mb", file.MaxHeadMB, 1, maxMemoryMB),
		checkNumber(name, "max_body_mb", file.MaxBodyMB, 1, maxMemoryMB),
	} {
		if next != nil {
			return file, next
		}
	}
	for _, seed := range file.SeedEntries {
		if err := checkAddress(name, "seed_entries", seed); err != nil {
			return file, err
		}
	}
	return file, nil
}

// checkNumber returns an error if a number is set and out of its range.
func checkNumber(name, field string, n, least, most int64) error {
	if n != 0 && (n < least || n > most) {
		return errors.Mark(errors.Newf("%s: %s is %d; expected %d to %d", name, field, n, least, most), ErrBadSettings)
	}
	return nil
}

func checkAddress(name, field, address string) error {
	if CheckAddress(address) != nil {
		return errors.Mark(errors.Newf("%s: %s: %q is not an IP address with a port, like 10.0.0.1:7000", name, field, address), ErrBadSettings)
	}
	return nil
}

// CheckAddress returns ErrBadAddress unless an address is an IP address with a port from 1 to 65535, like 10.0.0.1:7000.
func CheckAddress(address string) error {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.Port() == 0 {
		return errors.Mark(errors.Newf("%q is not an IP address with a port", address), ErrBadAddress)
	}
	return nil
}

// checkOptionalAddress returns an error if an address is set and not valid.
func checkOptionalAddress(name, field, address string) error {
	if address == "" {
		return nil
	}
	return checkAddress(name, field, address)
}

// checkToken returns an error if an administration token is set and too short.
func checkToken(name, field, token string) error {
	if token != "" && len(token) < minSharedKeyBytes {
		return errors.Mark(errors.Newf("%s: %s must have at least %d bytes", name, field, minSharedKeyBytes), ErrBadSettings)
	}
	return nil
}

// checkFarFactor returns an error if far_factor is set and is not a number of at least 1.
func checkFarFactor(name string, factor float64) error {
	if factor == 0 || factor >= 1 && factor <= maxFarFactor {
		return nil
	}
	return errors.Mark(errors.Newf("%s: far_factor must be at least 1 and at most %d", name, maxFarFactor), ErrBadSettings)
}

// FarFactor returns how many times as long a task takes outside the rack that it names, 1 if racks don't matter.
func (s EntrySettings) FarFactor() float64 { return max(s.file.FarFactor, 1) }

// ProcessLimits are the limits of a process in its settings; zeros stand for derived values.
type ProcessLimits struct {
	file settingsFile
}

// Limits returns the limits of the process.
func (s EntrySettings) Limits() ProcessLimits { return ProcessLimits(s) }

// Limits returns the limits of the process.
func (s AgentSettings) Limits() ProcessLimits { return ProcessLimits(s) }

// Memory returns the memory of the VM in bytes.
func (l ProcessLimits) Memory() int64 { return l.file.MemoryMB << 20 }

// MaxConnections returns the connections of the listener with the most.
func (l ProcessLimits) MaxConnections() int { return int(l.file.MaxConnections) }

// MaxConnectionsPerAddress returns the connections of one client address to a listener.
func (l ProcessLimits) MaxConnectionsPerAddress() int { return int(l.file.MaxPerAddress) }

// MaxHeads returns the memory in bytes for the heads of all requests.
func (l ProcessLimits) MaxHeads() int64 { return l.file.MaxHeadMB << 20 }

// MaxBodies returns the memory in bytes for the bodies of all requests.
func (l ProcessLimits) MaxBodies() int64 { return l.file.MaxBodyMB << 20 }

// CallerAddress returns the address for callers' HTTP requests.
func (s EntrySettings) CallerAddress() string { return s.file.CallerAddress }

// SessionAddress returns the address for sessions of agents and other entries.
func (s EntrySettings) SessionAddress() string { return s.file.SessionAddress }

// AdvertisedAddress returns the address at which agents and other entries reach SessionAddress: the same, unless a proxy or a
// forwarded port is in between.
func (s EntrySettings) AdvertisedAddress() string {
	if s.file.AdvertisedAddress != "" {
		return s.file.AdvertisedAddress
	}
	return s.file.SessionAddress
}

// PlatformAddress returns the address of the platform's table service, empty for none.
func (s EntrySettings) PlatformAddress() string { return s.file.PlatformAddress }

// ReadyAddress returns a separate address for GET /readyz, empty for none.
func (s EntrySettings) ReadyAddress() string { return s.file.ReadyAddress }

// MetricsAddress returns an address for GET /debug/vars without authorization, empty for none.
func (s EntrySettings) MetricsAddress() string { return s.file.MetricsAddress }

// StopTimeout returns how long a planned stop may take, zero for no limit.
func (s EntrySettings) StopTimeout() time.Duration { return s.file.stopTimeout() }

// MetricsAddress returns an address for GET /debug/vars without authorization, empty for none.
func (s AgentSettings) MetricsAddress() string { return s.file.MetricsAddress }

// StopTimeout returns how long a planned stop may take, zero for no limit.
func (s AgentSettings) StopTimeout() time.Duration { return s.file.stopTimeout() }

// stopTimeout returns stop_grace_s less stopMargin, zero for no limit.
func (f settingsFile) stopTimeout() time.Duration {
	return max(time.Duration(f.StopGraceS)*time.Second-stopMargin, 0)
}

// FailureDomain returns the failure domain of the VM.
func (s EntrySettings) FailureDomain() string { return s.file.FailureDomain }

// SharedKey returns the key that all processes of the deployment share.
func (s EntrySettings) SharedKey() []byte { return []byte(s.file.SharedKey) }

// SeedEntries returns the session addresses of entries to start with.
func (s EntrySettings) SeedEntries() []string { return s.file.SeedEntries }

// OperatorToken returns the token for changes through the administration API, empty for none.
func (s EntrySettings) OperatorToken() string { return s.file.OperatorToken }

// ViewerToken returns the token for reads through the administration API, empty for none.
func (s EntrySettings) ViewerToken() string { return s.file.ViewerToken }

// DrainTime returns how long a stopping entry still accepts jobs until the load balancer has noticed.
func (s EntrySettings) DrainTime() time.Duration {
	if s.file.DrainMS == nil {
		return defaultDrainTime
	}
	return milliseconds(*s.file.DrainMS)
}

// EndpointAddress returns the address at which the endpoint announces itself to the agent.
func (s AgentSettings) EndpointAddress() string { return s.file.EndpointAddress }

// ViewerToken returns the token for reads of the agent's metrics from another VM, empty for none.
func (s AgentSettings) ViewerToken() string { return s.file.ViewerToken }

// PlatformAddress returns the address of the platform's table service, empty for none.
func (s AgentSettings) PlatformAddress() string { return s.file.PlatformAddress }

// FailureDomain returns the failure domain of the VM.
func (s AgentSettings) FailureDomain() string { return s.file.FailureDomain }

// SharedKey returns the key that all processes of the deployment share.
func (s AgentSettings) SharedKey() []byte { return []byte(s.file.SharedKey) }

// SeedEntries returns the session addresses of entries to start with.
func (s AgentSettings) SeedEntries() []string { return s.file.SeedEntries }
