package commands

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"coltsfootvalve/core/cfvtree"
	"coltsfootvalve/io/cfvnode"

	"gotest.tools/v3/assert"
)

func run(args ...string) (code int, out, errOut string) {
	var a, b bytes.Buffer
	code = Execute(args, &a, &b)
	return code, a.String(), b.String()
}

func TestExitCodes(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.json")
	assert.NilError(t, os.WriteFile(bad, []byte(`{"colour": 1}`), 0o600))
	tests := map[string]struct {
		args []string
		code int
		want string
	}{
		"version":               {[]string{"version"}, ExitOK, "coltsfootvalve 0."},
		"help":                  {[]string{"--help"}, ExitOK, "Available commands"},
		"help of a command":     {[]string{"serve", "--help"}, ExitOK, "Example: coltsfootvalve serve"},
		"unknown command":       {[]string{"fly"}, ExitUsage, "fly"},
		"missing flag":          {[]string{"check"}, ExitUsage, "--settings"},
		"invalid settings":      {[]string{"check", "--settings", bad}, ExitFailed, `unknown field "colour"`},
		"valid settings":        {[]string{"check", "--settings", "../examples/node.json"}, ExitOK, "valid settings for node entry-1"},
		"node does not run":     {[]string{"status", "--node", "http://127.0.0.1:1"}, ExitFailed, "refused"},
		"domain without region": {[]string{"domain", "drain", "rosario"}, ExitFailed, "want REGION/DOMAIN"},
		"late without logs":     {[]string{"late", bad}, ExitFailed, "no placement of a prompt"},
		"late without limit":    {[]string{"late", "--pause", "0s", bad}, ExitFailed, "--first and --pause"},
		"late, no such file":    {[]string{"late", bad + "x"}, ExitFailed, "no such file"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			code, out, errOut := run(tt.args...)
			assert.Equal(t, code, tt.code, errOut)
			assert.Assert(t, strings.Contains(out+errOut, tt.want), "%s%s", out, errOut)
		})
	}
}

func TestEveryCommandHasAnExample(t *testing.T) {
	names := [][]string{
		{"serve"}, {"check"}, {"version"}, {"status"}, {"explain"}, {"metrics"}, {"log-level"}, {"hash-key"}, {"load"}, {"late"},
		{"settings", "get"}, {"settings", "set"}, {"settings", "unset"}, {"settings", "apply"}, {"settings", "diff"},
		{"settings", "history"}, {"settings", "explain"}, {"settings", "reference"},
		{"domain", "drain"}, {"domain", "return"}, {"move", "start"}, {"move", "status"}, {"move", "takeBack"},
	}
	for _, v := range names {
		code, out, _ := run(append(v, "--help")...)
		assert.Equal(t, code, ExitOK)
		assert.Assert(t, strings.Contains(out, "Example: coltsfootvalve "+strings.Join(v, " ")), "%v", v)
	}
}

func TestExamplesAreValid(t *testing.T) {
	for _, name := range []string{"chamber", "brackenridge"} {
		data, err := os.ReadFile("../examples/" + name + ".json")
		assert.NilError(t, err)
		changes, err := cfvtree.DecodeChanges(data)
		assert.NilError(t, err, name)
		_, err = cfvtree.Tree{}.Apply(changes)
		assert.NilError(t, err, name)
	}
	_, err := cfvnode.ReadConfig("../examples/node.json")
	assert.NilError(t, err)
}

func TestSettingsPageIsCurrent(t *testing.T) {
	var want bytes.Buffer
	assert.NilError(t, writeReference(&want))
	got, err := os.ReadFile("../docs/SETTINGS.md")
	assert.NilError(t, err)
	assert.Equal(t, string(got), want.String(), "run bin/coltsfootvalve settings reference > docs/SETTINGS.md")
}
