package cfvnode

import (
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// validConfig is a settings file with all required fields and no others.
const validConfig = `{"name":"entry-0","region":"pampeana","failureDomain":"rosario","callerAddress":"127.0.0.1:7001",
"peerAddress":"127.0.0.1:7002","operatorAddress":"127.0.0.1:7003","keyValueAddresses":["http://127.0.0.1:7100"],"vmListAddress":"http://127.0.0.1:7200"}`

func TestConfigErrorNamesField(t *testing.T) {
	tests := map[string]struct {
		field string
		value string // JSON; empty removes the field
		want  string
	}{
		"unknown field":                   {"colour", `1`, `unknown field "colour"`},
		"no name":                         {"name", ``, "name: missing"},
		"wrong type":                      {"name", `7`, "name: want string, got number"},
		"host name instead of IP address": {"peerAddress", `"host:1"`, `peerAddress: want an IP address, got "host"`},
		"no port":                         {"callerAddress", `"127.0.0.1"`, "callerAddress: want an IP address and a port"},
		"no key-value store":              {"keyValueAddresses", `[]`, "keyValueAddresses: missing"},
		"invalid key-value URL":           {"keyValueAddresses", `["x"]`, "keyValueAddresses[0]: want an http or https URL"},
		"VM list URL with another scheme": {"vmListAddress", `"ftp://x"`, "vmListAddress: want an http or https URL"},
		"zero probe interval":             {"probeEveryMillis", `0`, "probeEveryMillis: want more than 0, got 0"},
		"lease too short":                 {"leaseMillis", `10`, "leaseMillis: want 1000 or more, got 10"},
		"certificate without key":         {"certificate", `"c.pem"`, "certificate, key and authority: want all three or none"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			doc := make(map[string]json.RawMessage)
			assert.NilError(t, json.Unmarshal([]byte(validConfig), &doc))
			delete(doc, tt.field)
			if tt.value != "" {
				doc[tt.field] = json.RawMessage(tt.value)
			}
			data, err := json.Marshal(doc)
			assert.NilError(t, err)
			_, err = DecodeConfig(data)
			assert.Assert(t, err != nil && strings.Contains(err.Error(), tt.want), "%v", err)
		})
	}
}

func TestValidConfigIsAccepted(t *testing.T) {
	cfg, err := DecodeConfig([]byte(validConfig))
	assert.NilError(t, err)
	assert.Equal(t, cfg.Lease, DefaultConfig().Lease)
}

func FuzzDecodeConfig(f *testing.F) {
	f.Add([]byte(validConfig))
	f.Add([]byte(`{"name":null}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if cfg, err := DecodeConfig(data); err == nil && cfg.Name == "" {
			t.Fatal("a config without a name was accepted")
		}
	})
}
