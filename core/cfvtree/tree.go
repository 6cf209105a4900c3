package cfvtree

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"sort"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Tree is an immutable settings tree. The zero value is an empty tree. The nodes are split
// into shards, one per stored piece, so that a change copies only the shards it touches.
type Tree struct {
	shards [PieceCount]map[string]node
}

// node holds the settings of one path, sorted by name.
type node []setting

// setting is the name and value of one setting.
type setting struct {
	name  Name
	value Value
}

// shardOf returns the index of the shard that holds the node at path.
func shardOf(path string) int {
	return int(xxhash.Sum64String(path) % PieceCount)
}

// nodeAt returns the node at path, if there is one.
func (t Tree) nodeAt(path string) (node, bool) {
	n, ok := t.shards[shardOf(path)][path]
	return n, ok
}

func (n node) get(name Name) (Value, bool) {
	i, ok := n.find(name)
	if !ok {
		return Value{}, false
	}
	return n[i].value, true
}

// find returns the index of a setting, or the index at which to insert it.
func (n node) find(name Name) (int, bool) {
	return slices.BinarySearchFunc(n, name, func(s setting, name Name) int { return cmp.Compare(s.name, name) })
}

// with returns a copy of the node in which the setting has the given value.
func (n node) with(name Name, v Value) node {
	i, ok := n.find(name)
	if ok {
		out := slices.Clone(n)
		out[i].value = v
		return out
	}
	return slices.Insert(slices.Clip(slices.Clone(n)), i, setting{name, v})
}

// without returns a copy of the node in which the setting is unset.
func (n node) without(name Name) node {
	i, ok := n.find(name)
	if !ok {
		return n
	}
	return slices.Delete(slices.Clone(n), i, i+1)
}

// Change sets or unsets one setting of the node at Path. With an empty Name it adds the node,
// or removes it if Remove is set.
type Change struct {
	Path   string
	Name   Name
	Value  Value
	Remove bool
}

// String describes the change for operators, such as "set root queueMillis=1".
func (c Change) String() string {
	switch {
	case c.Remove && c.Name == "":
		return "remove " + c.Path
	case c.Remove:
		return fmt.Sprintf("unset %s %s", c.Path, c.Name)
	case c.Name == "":
		return "add " + c.Path
	default:
		return fmt.Sprintf("set %s %s=%s", c.Path, c.Name, c.Value)
	}
}

// Apply returns the tree with all changes applied. If a change is invalid, it returns an
// error that names the path and the setting, and applies none of them.
func (t Tree) Apply(changes []Change) (out Tree, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("settings: %w", err)
		}
	}()
	if out, err = t.edit(changes); err != nil {
		return Tree{}, err
	}
	if err = out.validate(); err != nil {
		return Tree{}, err
	}
	return out, nil
}

// edit applies the changes to copies of the shards they touch, without checks across settings.
func (t Tree) edit(changes []Change) (out Tree, err error) {
	out = t
	var copied [PieceCount]bool
	for _, c := range changes {
		i := shardOf(c.Path)
		if !copied[i] {
			copied[i] = true
			out.shards[i] = maps.Clone(t.shards[i])
		}
		if out.shards[i] == nil {
			out.shards[i] = make(map[string]node)
		}
		if err = applyChange(out.shards[i], c); err != nil {
			return Tree{}, err
		}
	}
	return out, nil
}

// applyChange applies one change to the nodes of a shard.
func applyChange(nodes map[string]node, c Change) error {
	level, err := LevelOf(c.Path)
	if err != nil {
		return err
	}
	switch {
	case c.Remove && c.Name == "":
		delete(nodes, c.Path)
		return nil
	case c.Name == "":
		if _, ok := nodes[c.Path]; !ok {
			nodes[c.Path] = nil
		}
		return nil
	case c.Remove:
		nodes[c.Path] = nodes[c.Path].without(c.Name)
		return nil
	}
	f, ok := fieldsByName[c.Name]
	if !ok {
		return fmt.Errorf("%s: %s: no such setting", c.Path, c.Name)
	}
	if !f.AllowedAt(level) {
		return fmt.Errorf("%s: %s: not allowed at level %s", c.Path, c.Name, level)
	}
	if err := f.check(c.Value); err != nil {
		return fmt.Errorf("%s: %w", c.Path, err)
	}
	nodes[c.Path] = nodes[c.Path].with(f.Name, c.Value)
	return nil
}

// validate checks the constraints between settings.
func (t Tree) validate() error {
	hashes := make(map[string]string)
	for _, p := range t.Paths() {
		level, err := LevelOf(p)
		if err != nil {
			return err
		}
		if cold, warm := t.Int(p, ColdSlots), t.Int(p, WarmSlots); cold > warm {
			return fmt.Errorf("%s: coldSlots %d is above warmSlots %d", p, cold, warm)
		}
		switch level {
		case LevelWorkspace:
			if err := t.validateWorkspace(p, hashes); err != nil {
				return err
			}
		case LevelStore:
			if t.Text(p, Address) == "" {
				return fmt.Errorf("%s: address: missing", p)
			}
		case LevelEndpoint:
			if err := t.validateEndpoint(p); err != nil {
				return err
			}
		case LevelService:
			if err := t.validateMove(p); err != nil {
				return err
			}
		}
	}
	return nil
}

// validateMove checks that a move has a version to move from and ends after its start.
func (t Tree) validateMove(p string) error {
	if t.Text(p, MoveTo) == "" {
		return nil
	}
	if t.Text(p, ActiveVersion) == "" {
		return fmt.Errorf("%s: activeVersion: missing, so nothing can move to %s", p, t.Text(p, MoveTo))
	}
	if t.Int(p, MoveDeadline) <= t.Int(p, MoveStart) {
		return fmt.Errorf("%s: moveDeadline: must lie after moveStart", p)
	}
	return nil
}

// validateWorkspace checks that no two workspaces have the same key. It records the key in
// hashes.
func (t Tree) validateWorkspace(p string, hashes map[string]string) error {
	h := t.Text(p, KeyHash)
	if h == "" {
		return nil
	}
	if other, ok := hashes[h]; ok {
		return fmt.Errorf("%s: keyHash: same key as %s", p, other)
	}
	hashes[h] = p
	return nil
}

// validateEndpoint checks that an endpoint has an address and an existing service.
func (t Tree) validateEndpoint(p string) error {
	if t.Text(p, Address) == "" {
		return fmt.Errorf("%s: address: missing", p)
	}
	s := t.Text(p, EndpointService)
	if s == "" {
		return fmt.Errorf("%s: service: missing", p)
	}
	if !t.Has("services/" + s) {
		return fmt.Errorf("%s: service: no service %q", p, s)
	}
	return nil
}

// Lookup returns the effective value of a setting at path and the path that sets it. The
// origin is empty if the value is the default.
func (t Tree) Lookup(path string, name Name) (v Value, origin string) {
	for p := path; ; p = parentOf(p) {
		n, _ := t.nodeAt(p)
		if v, ok := n.get(name); ok {
			return v, p
		}
		if p == Root {
			return fieldsByName[name].Default, ""
		}
	}
}

// Int returns the effective value of an integer setting at path.
func (t Tree) Int(path string, name Name) int {
	v, _ := t.Lookup(path, name)
	return v.number
}

// Bool returns the effective value of a boolean setting at path.
func (t Tree) Bool(path string, name Name) bool {
	v, _ := t.Lookup(path, name)
	return v.flag
}

// Text returns the effective value of a text setting at path.
func (t Tree) Text(path string, name Name) string {
	v, _ := t.Lookup(path, name)
	return v.text
}

// Has reports whether the tree has a node at path.
func (t Tree) Has(path string) bool {
	_, ok := t.nodeAt(path)
	return ok
}

// Paths returns the paths of all nodes, sorted.
func (t Tree) Paths() []string {
	out := make([]string, 0, t.Len())
	for _, nodes := range t.shards {
		for p := range nodes {
			out = append(out, p)
		}
	}
	sort.Strings(out)
	return out
}

// Len returns the number of nodes.
func (t Tree) Len() int {
	n := 0
	for _, nodes := range t.shards {
		n += len(nodes)
	}
	return n
}

// PathsAtLevel returns the paths of all nodes of one level, sorted.
func (t Tree) PathsAtLevel(level Level) []string {
	var out []string
	for _, p := range t.Paths() {
		if l, _ := LevelOf(p); l == level {
			out = append(out, p)
		}
	}
	return out
}

// NamesAt returns the names of the settings that the node itself sets, sorted.
func (t Tree) NamesAt(path string) []Name {
	n, _ := t.nodeAt(path)
	var out []Name
	for _, s := range n {
		out = append(out, s.name)
	}
	return out
}

// Base returns the last element of a path.
func Base(path string) string {
	return path[strings.LastIndexByte(path, '/')+1:]
}

// valueAt returns the value that the node itself sets, without inheritance.
func (t Tree) valueAt(path string, name Name) (Value, bool) {
	n, _ := t.nodeAt(path)
	return n.get(name)
}

// Diff returns the changes that turn one tree into another. Within the removals and within
// the additions, they are sorted by path and name.
func Diff(from, to Tree) []Change {
	var out []Change
	for _, p := range from.Paths() {
		if !to.Has(p) {
			out = append(out, Change{Path: p, Remove: true})
			continue
		}
		for _, name := range from.NamesAt(p) {
			if _, ok := to.valueAt(p, name); !ok {
				out = append(out, Change{Path: p, Name: name, Remove: true})
			}
		}
	}
	for _, p := range to.Paths() {
		if !from.Has(p) {
			out = append(out, Change{Path: p})
		}
		for _, name := range to.NamesAt(p) {
			now, _ := to.valueAt(p, name)
			if v, ok := from.valueAt(p, name); !ok || v != now {
				out = append(out, Change{Path: p, Name: name, Value: now})
			}
		}
	}
	return out
}
