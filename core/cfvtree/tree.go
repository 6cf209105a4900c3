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

// Tree is an immutable tree of settings. The zero value is empty and valid. Its nodes stand
// in shards, one for each stored piece, so that a change copies only what it touches.
type Tree struct {
	shards [PieceCount]map[string]node
}

// node holds the settings that stand at one path, sorted by name.
type node []setting

type setting struct {
	name  Name
	value Value
}

func shardOf(path string) int {
	return int(xxhash.Sum64String(path) % PieceCount)
}

// at returns the node at a path.
func (t Tree) at(path string) (node, bool) {
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

func (n node) find(name Name) (int, bool) {
	return slices.BinarySearchFunc(n, name, func(s setting, name Name) int { return cmp.Compare(s.name, name) })
}

// with returns a copy of the node with one setting set.
func (n node) with(name Name, v Value) node {
	i, ok := n.find(name)
	if ok {
		out := slices.Clone(n)
		out[i].value = v
		return out
	}
	return slices.Insert(slices.Clip(slices.Clone(n)), i, setting{name, v})
}

// without returns a copy of the node with one setting unset.
func (n node) without(name Name) node {
	i, ok := n.find(name)
	if !ok {
		return n
	}
	return slices.Delete(slices.Clone(n), i, i+1)
}

// Change sets or unsets one setting at one path. A change with Remove set and no name
// removes the node.
type Change struct {
	Path   string
	Name   Name
	Value  Value
	Remove bool
}

// String returns the change as an operator would read it.
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

// Apply returns the tree with the changes made, or an error that names the path and the
// setting at fault; then nothing is changed.
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

// edit makes the changes on copies of the shards that they touch.
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
		if err = applyOne(out.shards[i], c); err != nil {
			return Tree{}, err
		}
	}
	return out, nil
}

func applyOne(nodes map[string]node, c Change) error {
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
	f, ok := fields[c.Name]
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

// validate checks what holds between settings.
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

// Lookup returns the value in force at path and the path that gave it; the origin is
// empty for a default.
func (t Tree) Lookup(path string, name Name) (v Value, origin string) {
	for p := path; ; p = parentOf(p) {
		n, _ := t.at(p)
		if v, ok := n.get(name); ok {
			return v, p
		}
		if p == Root {
			return fields[name].Default, ""
		}
	}
}

// Int returns the integer in force at path.
func (t Tree) Int(path string, name Name) int {
	v, _ := t.Lookup(path, name)
	return v.number
}

// Bool returns the boolean in force at path.
func (t Tree) Bool(path string, name Name) bool {
	v, _ := t.Lookup(path, name)
	return v.flag
}

// Text returns the text in force at path.
func (t Tree) Text(path string, name Name) string {
	v, _ := t.Lookup(path, name)
	return v.text
}

// Has reports whether a node stands at path.
func (t Tree) Has(path string) bool {
	_, ok := t.at(path)
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

// At returns the paths of all nodes of a level, sorted.
func (t Tree) PathsAtLevel(level Level) []string {
	var out []string
	for _, p := range t.Paths() {
		if l, _ := LevelOf(p); l == level {
			out = append(out, p)
		}
	}
	return out
}

// Own returns the names of the settings that stand at the node itself, sorted.
func (t Tree) NamesAt(path string) []Name {
	n, _ := t.at(path)
	var out []Name
	for _, s := range n {
		out = append(out, s.name)
	}
	return out
}

// Base returns the last part of a path.
func Base(path string) string {
	return path[strings.LastIndexByte(path, '/')+1:]
}

// own returns the setting that stands at the node itself.
func (t Tree) own(path string, name Name) (Value, bool) {
	n, _ := t.at(path)
	return n.get(name)
}

// Diff returns the changes that turn from into to, sorted by path and name.
func Diff(from, to Tree) []Change {
	var out []Change
	for _, p := range from.Paths() {
		if !to.Has(p) {
			out = append(out, Change{Path: p, Remove: true})
			continue
		}
		for _, name := range from.NamesAt(p) {
			if _, ok := to.own(p, name); !ok {
				out = append(out, Change{Path: p, Name: name, Remove: true})
			}
		}
	}
	for _, p := range to.Paths() {
		if !from.Has(p) {
			out = append(out, Change{Path: p})
		}
		for _, name := range to.NamesAt(p) {
			now, _ := to.own(p, name)
			if v, ok := from.own(p, name); !ok || v != now {
				out = append(out, Change{Path: p, Name: name, Value: now})
			}
		}
	}
	return out
}
