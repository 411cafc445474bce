// Package settings loads and checks the settings of nutmeglatchd. All faults
// are reported at once, each with its field, its value and what is allowed.
package settings

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"net/netip"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/nutmeglatch/nutmeglatch/internal/document"
	"github.com/nutmeglatch/nutmeglatch/internal/strictyaml"
)

// PeerKeyVariable is the environment variable that supplies the peer key when
// the settings contain none.
const PeerKeyVariable = "NUTMEGLATCH_PEER_KEY"

// MaxBytes bounds the size of a settings file.
const MaxBytes = 1 << 16

// DefaultPrefix is the prefix of keys for platforms of type http. A directory
// is read without a prefix by default.
const DefaultPrefix = "nutmeglatch/"

// PlatformType selects the source of the platform's values.
type PlatformType string

// Types of platform sources.
const (
	PlatformHTTP      PlatformType = "http"
	PlatformDirectory PlatformType = "directory"
)

// Settings are the settings of the process of one entry host.
type Settings struct {
	HostID       string            `yaml:"host_id"`
	DataCentre   string            `yaml:"data_centre"`
	Region       string            `yaml:"region"`
	GUE          netip.AddrPort    `yaml:"gue"`
	Peer         netip.AddrPort    `yaml:"peer"`
	Admin        netip.AddrPort    `yaml:"admin"`
	FabricReturn netip.AddrPort    `yaml:"fabric_return"`
	PeerKey      Key               `yaml:"peer_key"`
	Platform     Platform          `yaml:"platform"`
	Limits       Limits            `yaml:"limits"`
	Probe        Probe             `yaml:"probe"`
	PauseLimit   document.Duration `yaml:"pause_limit"`
	StartCheck   document.Duration `yaml:"start_check"`
	Shutdown     Shutdown          `yaml:"shutdown"`
	// Workers is the number of goroutines that handle traffic; 0 starts one per
	// core.
	Workers  int    `yaml:"workers"`
	LogLevel string `yaml:"log_level"`
}

// Platform configures the source of the platform's values.
type Platform struct {
	Type PlatformType `yaml:"type"`
	// URL is the base URL of the Consul KV HTTP API, for type http.
	URL string `yaml:"url"`
	// Path is the directory that holds the values, for type directory.
	Path   string            `yaml:"path"`
	Prefix string            `yaml:"prefix"`
	Wait   document.Duration `yaml:"wait"`
	Poll   document.Duration `yaml:"poll"`
}

// Limits bounds the state that the process holds.
type Limits struct {
	MaxFlows   int `yaml:"max_flows"`
	MaxMessage int `yaml:"max_message"`
	// CommandDeadline bounds the command deadlines that service documents set.
	CommandDeadline document.Duration `yaml:"command_deadline"`
	ClaimRetention  document.Duration `yaml:"claim_retention"`
	GroupSize       int               `yaml:"group_size"`
}

// Probe holds the intervals of failure detection.
type Probe struct {
	Interval       document.Duration `yaml:"interval"`
	Timeout        document.Duration `yaml:"timeout"`
	SuspectFor     document.Duration `yaml:"suspect_for"`
	IndirectProbes int               `yaml:"indirect_probes"`
}

// Shutdown holds the durations of a graceful shutdown.
type Shutdown struct {
	QuietFor document.Duration `yaml:"quiet_for"`
	Limit    document.Duration `yaml:"limit"`
}

// Default returns the default settings. Identity, addresses and the peer key
// have no default.
func Default() Settings {
	return Settings{
		Platform: Platform{
			Type: PlatformHTTP,
			Wait: seconds(55),
			Poll: seconds(60),
		},
		Limits: Limits{
			MaxFlows:        1_000_000,
			MaxMessage:      2 << 20,
			CommandDeadline: document.Duration(document.MaxCommandDeadline),
			ClaimRetention:  seconds(30),
			GroupSize:       8,
		},
		Probe: Probe{
			Interval:       document.Duration(200 * time.Millisecond),
			Timeout:        document.Duration(150 * time.Millisecond),
			SuspectFor:     seconds(1),
			IndirectProbes: 3,
		},
		PauseLimit: seconds(1),
		StartCheck: seconds(2),
		// Limit is the sum of the claim retention, the command deadline and
		// ShutdownMargin. By then the remaining owners hold complete claims,
		// whatever the number of claims.
		Shutdown: Shutdown{QuietFor: seconds(2), Limit: seconds(46)},
		LogLevel: "info",
	}
}

func seconds(n int) document.Duration { return document.Duration(n) * document.Duration(time.Second) }

// Load reads and checks the settings in a file. Faults of the content are of
// type strictyaml.Faults.
func Load(path string, getenv func(string) string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return Parse(raw, getenv)
}

// Parse decodes and checks settings. The peer key is taken from the
// environment when the settings contain none.
func Parse(raw []byte, getenv func(string) string) (*Settings, error) {
	s := Default()
	faults := strictyaml.Decode(raw, MaxBytes, &s)
	if len(faults) > 0 && (faults.Kind() == strictyaml.Malformed || faults.Kind() == strictyaml.TooLarge) {
		return nil, faults
	}
	if s.Platform.Type == PlatformHTTP && s.Platform.Prefix == "" {
		s.Platform.Prefix = DefaultPrefix
	}
	if s.PeerKey == nil {
		s.keyFromEnvironment(getenv, &faults)
	}
	faults.Merge(s.check())
	if len(faults) > 0 {
		return nil, faults
	}
	return &s, nil
}

func (s *Settings) keyFromEnvironment(getenv func(string) string, faults *strictyaml.Faults) {
	text := getenv(PeerKeyVariable)
	if text == "" {
		return
	}
	if err := s.PeerKey.UnmarshalText([]byte(text)); err != nil {
		faults.Invalid("peer_key", strictyaml.HiddenValue+" from "+PeerKeyVariable, s.PeerKey.AllowedText())
	}
}

// MinKeyBytes is the length of the shortest peer key.
const MinKeyBytes = 16

// packetKeyLabel separates the packet key from other uses of the peer key.
const packetKeyLabel = "nutmeglatch packet key"

// Key is a secret key, written in hexadecimal.
type Key []byte

// UnmarshalText decodes a key.
func (k *Key) UnmarshalText(text []byte) error {
	b, err := hex.DecodeString(string(text))
	if err != nil {
		return errors.New("key is not hexadecimal")
	}
	*k = b
	return nil
}

// AllowedText describes valid keys for error messages.
func (Key) AllowedText() string {
	return "at least 16 bytes in hexadecimal, here or in the environment variable " + PeerKeyVariable
}

// Hidden marks the type as secret, so that faults do not show its values.
func (Key) Hidden() {}

// String returns a placeholder, so that formatting does not reveal the key.
func (Key) String() string { return strictyaml.HiddenValue }

// GoString returns a placeholder, so that %#v does not reveal the key.
func (Key) GoString() string { return strictyaml.HiddenValue }

// PacketKey derives the key that authenticates datagrams between entry hosts.
func (k Key) PacketKey() [16]byte {
	mac := hmac.New(sha256.New, k)
	mac.Write([]byte(packetKeyLabel))
	return [16]byte(mac.Sum(nil))
}
