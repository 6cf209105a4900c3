// Package cfvnode assembles the node of an entry VM from its components, opens its listeners,
// and starts and stops it.
package cfvnode

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/url"
	"os"
	"time"

	"coltsfootvalve/common/cfvhttp"
	"coltsfootvalve/core/cfvslot"
)

// Config holds the settings of a node.
type Config struct {
	Name               string
	Region             string
	FailureDomain      string
	CallerAddress      string
	PeerAddress        string
	OperatorAddress    string
	KeyValueAddresses  []string
	VMListAddress      string
	OperatorToken      string
	LogLevel           string
	DrainGrace         time.Duration // how long a stopping node still accepts requests after it reports that it is not ready
	DrainTimeout       time.Duration // how long a stopping node waits for requests in progress
	ProbeInterval      time.Duration
	SuspicionTimeout   time.Duration
	ListInterval       time.Duration
	MoveInterval       time.Duration // interval of the reports and decisions on version moves
	Lease              time.Duration // how long an entry recognises an owner of a group
	AdmitTimeout       time.Duration // timeout of calls to the entry that owns a workspace's limits
	ReserveTimeout     time.Duration // timeout of calls to the owner of a group, not counting the time in its queue
	KeyValueTimeout    time.Duration // timeout of calls to the key-value store, except watches
	StoreLookupTimeout time.Duration // timeout of block lookups at a store VM
	Certificate        string        // file of the certificate for connections between entries; empty to use no TLS
	Key                string
	Authority          string
	CallerCertificate  string
	CallerKey          string

	Listen func(network, address string) (net.Listener, error) // nil to use the network of the operating system
	Dial   cfvhttp.DialFunc                                    // likewise
}

// minLease leaves time to renew a lease before a granted slot must be used.
const minLease = 2 * cfvslot.GrantTTL

// DefaultConfig returns the default settings of a node.
func DefaultConfig() Config {
	return Config{
		LogLevel:           "info",
		DrainGrace:         2 * time.Second,
		DrainTimeout:       30 * time.Second,
		ProbeInterval:      200 * time.Millisecond,
		SuspicionTimeout:   1500 * time.Millisecond,
		ListInterval:       time.Second,
		Lease:              3 * time.Second,
		AdmitTimeout:       300 * time.Millisecond,
		StoreLookupTimeout: 50 * time.Millisecond,

		ReserveTimeout:  300 * time.Millisecond,
		KeyValueTimeout: keyValueTimeout,
		MoveInterval:    time.Second,
	}
}

type configJSON struct {
	Name              string   `json:"name"`
	Region            string   `json:"region"`
	FailureDomain     string   `json:"failureDomain"`
	CallerAddress     string   `json:"callerAddress"`
	PeerAddress       string   `json:"peerAddress"`
	OperatorAddress   string   `json:"operatorAddress"`
	KeyValueAddresses []string `json:"keyValueAddresses"`
	VMListAddress     string   `json:"vmListAddress"`
	OperatorToken     string   `json:"operatorToken"`
	LogLevel          string   `json:"logLevel"`
	DrainGraceMillis  *int64   `json:"drainGraceMillis"`
	DrainLimitMillis  *int64   `json:"drainLimitMillis"`
	ProbeEveryMillis  *int64   `json:"probeEveryMillis"`
	SuspectForMillis  *int64   `json:"suspectForMillis"`
	ListEveryMillis   *int64   `json:"listEveryMillis"`
	LeaseMillis       *int64   `json:"leaseMillis"`
	AdmitMillis       *int64   `json:"admitMillis"`
	StoreLookupMillis *int64   `json:"storeLookupMillis"`
	ReserveMillis     *int64   `json:"reserveMillis"`
	KeyValueMillis    *int64   `json:"keyValueMillis"`
	Certificate       string   `json:"certificate"`
	Key               string   `json:"key"`
	Authority         string   `json:"authority"`
	CallerCertificate string   `json:"callerCertificate"`
	CallerKey         string   `json:"callerKey"`
}

// ReadConfig reads and validates a settings file. Errors name the file and the field.
func ReadConfig(file string) (cfg Config, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("settings file %s: %w", file, err)
		}
	}()
	data, err := os.ReadFile(file)
	if err != nil {
		return cfg, err
	}
	return DecodeConfig(data)
}

// DecodeConfig decodes and validates the settings of a node. Unknown fields are errors.
func DecodeConfig(data []byte) (cfg Config, err error) {
	var j configJSON
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err = dec.Decode(&j); err != nil {
		return cfg, describeDecodeError(err)
	}
	cfg = DefaultConfig()
	cfg.Name, cfg.Region, cfg.FailureDomain = j.Name, j.Region, j.FailureDomain
	cfg.CallerAddress, cfg.PeerAddress, cfg.OperatorAddress = j.CallerAddress, j.PeerAddress, j.OperatorAddress
	cfg.KeyValueAddresses, cfg.VMListAddress = j.KeyValueAddresses, j.VMListAddress
	cfg.OperatorToken = j.OperatorToken
	cfg.Certificate, cfg.Key, cfg.Authority = j.Certificate, j.Key, j.Authority
	cfg.CallerCertificate, cfg.CallerKey = j.CallerCertificate, j.CallerKey
	if j.LogLevel != "" {
		cfg.LogLevel = j.LogLevel
	}
	setMillis(&cfg.DrainGrace, j.DrainGraceMillis)
	setMillis(&cfg.DrainTimeout, j.DrainLimitMillis)
	setMillis(&cfg.ProbeInterval, j.ProbeEveryMillis)
	setMillis(&cfg.SuspicionTimeout, j.SuspectForMillis)
	setMillis(&cfg.ListInterval, j.ListEveryMillis)
	setMillis(&cfg.Lease, j.LeaseMillis)
	setMillis(&cfg.AdmitTimeout, j.AdmitMillis)
	setMillis(&cfg.StoreLookupTimeout, j.StoreLookupMillis)
	setMillis(&cfg.ReserveTimeout, j.ReserveMillis)
	setMillis(&cfg.KeyValueTimeout, j.KeyValueMillis)
	return cfg, cfg.validate()
}

func setMillis(d *time.Duration, ms *int64) {
	if ms != nil {
		*d = time.Duration(*ms) * time.Millisecond
	}
}

// describeDecodeError rewrites a type error to name the field as it is written in the file.
func describeDecodeError(err error) error {
	var te *json.UnmarshalTypeError
	if errors.As(err, &te) {
		return fmt.Errorf("%s: want %s, got %s", te.Field, te.Type, te.Value)
	}
	return err
}

func (c Config) validate() error {
	for _, f := range []struct{ name, value string }{
		{"name", c.Name}, {"region", c.Region}, {"failureDomain", c.FailureDomain},
	} {
		if f.value == "" {
			return fmt.Errorf("%s: missing", f.name)
		}
	}
	for _, f := range []struct{ name, value string }{
		{"callerAddress", c.CallerAddress}, {"peerAddress", c.PeerAddress}, {"operatorAddress", c.OperatorAddress},
	} {
		if err := checkAddress(f.value); err != nil {
			return fmt.Errorf("%s: %w", f.name, err)
		}
	}
	if len(c.KeyValueAddresses) == 0 {
		return fmt.Errorf("keyValueAddresses: missing")
	}
	for i, a := range c.KeyValueAddresses {
		if err := checkURL(a); err != nil {
			return fmt.Errorf("keyValueAddresses[%d]: %w", i, err)
		}
	}
	if err := checkURL(c.VMListAddress); err != nil {
		return fmt.Errorf("vmListAddress: %w", err)
	}
	return c.validateTimes()
}

func (c Config) validateTimes() error {
	for _, f := range []struct {
		name  string
		value time.Duration
	}{
		{"probeEveryMillis", c.ProbeInterval}, {"suspectForMillis", c.SuspicionTimeout}, {"listEveryMillis", c.ListInterval}, {"storeLookupMillis", c.StoreLookupTimeout},
		{"admitMillis", c.AdmitTimeout}, {"reserveMillis", c.ReserveTimeout}, {"keyValueMillis", c.KeyValueTimeout},
	} {
		if f.value <= 0 {
			return fmt.Errorf("%s: want more than 0, got %d", f.name, f.value.Milliseconds())
		}
	}
	if c.Lease < minLease {
		return fmt.Errorf("leaseMillis: want %d or more, got %d", minLease.Milliseconds(), c.Lease.Milliseconds())
	}
	if c.DrainGrace < 0 || c.DrainTimeout < 0 {
		return fmt.Errorf("drainGraceMillis and drainLimitMillis: want 0 or more")
	}
	if (c.Certificate == "") != (c.Key == "") || (c.Certificate == "") != (c.Authority == "") {
		return fmt.Errorf("certificate, key and authority: want all three or none")
	}
	if (c.CallerCertificate == "") != (c.CallerKey == "") {
		return fmt.Errorf("callerCertificate and callerKey: want both or none")
	}
	return nil
}

// checkAddress checks that s consists of an IP address and a port.
func checkAddress(s string) error {
	host, _, err := net.SplitHostPort(s)
	if err != nil {
		return fmt.Errorf("want an IP address and a port, got %q", s)
	}
	if net.ParseIP(host) == nil {
		return fmt.Errorf("want an IP address, got %q", host)
	}
	return nil
}

func checkURL(s string) error {
	u, err := url.Parse(s)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return fmt.Errorf("want an http or https URL, got %q", s)
	}
	return nil
}
