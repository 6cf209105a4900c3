package cfvarch

import (
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// layers maps each top-level folder to the folders that its packages may import.
var layers = map[string][]string{
	"commands": {"platform", "io", "core", "common"},
	"platform": {"core", "common"},
	"io":       {"io", "core", "common"},
	"core":     {"core", "common"},
	"common":   {"common"},
}

// maxLines is the maximum number of lines of a file.
const maxLines = 400

// testOnly lists packages that only tests may import from a lower layer.
var testOnly = []string{"coltsfootvalve/standins"}

func goFiles(t *testing.T, root string) []string {
	var out []string
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err == nil && strings.HasSuffix(path, ".go") && !strings.Contains(path, ".pb.go") && !strings.Contains(path, ".connect.go") {
			out = append(out, path)
		}
		return err
	})
	assert.NilError(t, err)
	return out
}

func TestPackagesDependOneWay(t *testing.T) {
	for layer, allowed := range layers {
		for _, file := range goFiles(t, filepath.Join("..", "..", layer)) {
			f, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.ImportsOnly)
			assert.NilError(t, err)
			for _, imp := range f.Imports {
				checkImport(t, file, strings.Trim(imp.Path.Value, `"`), allowed)
			}
		}
	}
}

func checkImport(t *testing.T, file, path string, allowed []string) {
	rest, local := strings.CutPrefix(path, "coltsfootvalve/")
	if !local {
		return
	}
	for _, prefix := range testOnly {
		if strings.HasSuffix(file, "_test.go") && strings.HasPrefix(path, prefix) {
			return
		}
	}
	layer, _, _ := strings.Cut(rest, "/")
	for _, a := range allowed {
		if layer == a {
			return
		}
	}
	t.Errorf("%s may not import %s", file, path)
}

func TestNoFileIsLarge(t *testing.T) {
	for _, file := range goFiles(t, filepath.Join("..", "..")) {
		data, err := os.ReadFile(file)
		assert.NilError(t, err)
		n := strings.Count(string(data), "\n")
		if strings.HasSuffix(file, "_test.go") {
			n /= 2 // test files may be twice as long
		}
		assert.Check(t, n <= maxLines, "%s has %d lines", file, n)
	}
}

func TestEachPackageHasAComment(t *testing.T) {
	commented := make(map[string]bool)
	for _, file := range goFiles(t, filepath.Join("..", "..")) {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		f, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.ParseComments|parser.PackageClauseOnly)
		assert.NilError(t, err)
		dir := filepath.Dir(file)
		commented[dir] = commented[dir] || f.Doc != nil
	}
	for dir, has := range commented {
		if strings.Contains(dir, "cfvwire") {
			continue // generated
		}
		assert.Check(t, has, "package %s has no package comment", dir)
	}
}

func TestNoFileContainsALocalPath(t *testing.T) {
	root, err := filepath.Abs(filepath.Join("..", ".."))
	assert.NilError(t, err)
	for _, file := range goFiles(t, root) {
		data, err := os.ReadFile(file)
		assert.NilError(t, err)
		assert.Check(t, !strings.Contains(string(data), root+"/"), "%s contains a path of the local checkout", file)
	}
}

// platformNames are names of the hosting platform that only its adapter, the stand-ins and
// tests may use.
var platformNames = []string{
	"X-Coltsfootvalve", "/-/", "op/config", "servers/", "coldLeftMs", "kvStoreAddr", "pathPrefix", "Kv-From", "COLTSFOOTVALVE_CONFIG",
}

func TestOnlyTheAdapterUsesPlatformNames(t *testing.T) {
	for _, layer := range []string{"commands", "io", "core", "common"} {
		for _, file := range goFiles(t, filepath.Join("..", "..", layer)) {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			data, err := os.ReadFile(file)
			assert.NilError(t, err)
			for _, name := range platformNames {
				assert.Check(t, !strings.Contains(string(data), name), "%s contains %s", file, name)
			}
		}
	}
}
