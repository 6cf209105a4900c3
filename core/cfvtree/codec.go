package cfvtree

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math"
	"sort"
	"strconv"
	"strings"
)

// PieceCount is the number of pieces that a tree is stored in.
const PieceCount = 64

// MaxPieceBytes is the largest value that the key-value service holds.
const MaxPieceBytes = 1 << 20

// DecodeChanges reads a settings document, a JSON object of paths to settings, as the
// changes that set each of them. A setting that is null is unset.
func DecodeChanges(data []byte) (out []Change, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("settings document: %w", err)
		}
	}()
	var doc map[string]map[Name]json.RawMessage
	dec := json.NewDecoder(bytes.NewReader(data))
	if err = dec.Decode(&doc); err != nil {
		return nil, err
	}
	if dec.More() {
		return nil, fmt.Errorf("data after the document")
	}
	paths := make([]string, 0, len(doc))
	for p := range doc {
		paths = append(paths, p)
	}
	sort.Strings(paths)
	for _, p := range paths {
		if _, err = LevelOf(p); err != nil {
			return nil, err
		}
		out = append(out, Change{Path: p})
		changes, err := decodeNode(p, doc[p])
		if err != nil {
			return nil, err
		}
		out = append(out, changes...)
	}
	return out, nil
}

func decodeNode(path string, raw map[Name]json.RawMessage) (out []Change, err error) {
	for name, data := range raw {
		c := Change{Path: path, Name: name}
		if string(data) == "null" {
			c.Remove = true
		} else if c.Value, err = decodeValue(name, data); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		out = append(out, c)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out, nil
}

func decodeValue(name Name, data []byte) (v Value, err error) {
	f, ok := fields[name]
	if !ok {
		return v, fmt.Errorf("%s: no such setting", name)
	}
	var raw any
	if err = json.Unmarshal(data, &raw); err != nil {
		return v, fmt.Errorf("%s: %w", name, err)
	}
	switch x := raw.(type) {
	case float64:
		if x != math.Trunc(x) || math.Abs(x) > anyInt {
			return v, fmt.Errorf("%s: want an integer, got %v", name, x)
		}
		v = IntValue(int(x))
	case bool:
		v = BoolValue(x)
	case string:
		v = TextValue(x)
	default:
		return v, fmt.Errorf("%s: want %s", name, f.Kind)
	}
	return v, f.check(v)
}

// Encode returns the tree as a settings document.
func (t Tree) Encode() []byte {
	doc := make(map[string]map[Name]any, t.Len())
	for _, nodes := range t.shards {
		addPlain(doc, nodes)
	}
	return encode(doc)
}

func addPlain(doc map[string]map[Name]any, nodes map[string]node) {
	for p, n := range nodes {
		values := make(map[Name]any, len(n))
		for _, s := range n {
			values[s.name] = s.value.plain()
		}
		doc[p] = values
	}
}

func encode(doc map[string]map[Name]any) []byte {
	data, err := json.Marshal(doc)
	if err != nil {
		panic(err) // maps of strings, numbers and booleans always encode
	}
	return data
}

func (v Value) plain() any {
	switch v.kind {
	case valueInt:
		return v.number
	case valueBool:
		return v.flag
	default:
		return v.text
	}
}

// Split returns the pieces of the tree. A change to one node changes one piece.
func (t Tree) Split() (out [][]byte, err error) {
	for i, nodes := range t.shards {
		doc := make(map[string]map[Name]any, len(nodes))
		addPlain(doc, nodes)
		data := encode(doc)
		if len(data) > MaxPieceBytes {
			return nil, fmt.Errorf("settings: piece %d holds %d bytes, more than %d", i, len(data), MaxPieceBytes)
		}
		out = append(out, data)
	}
	return out, nil
}

// PieceName returns the name of a piece that a revision adds: the hash of its content,
// then the revision, so that a name is never used again for other content.
func PieceName(data []byte, revision uint64) string {
	return hashPiece(data) + "-" + strconv.FormatUint(revision, 10)
}

func hashPiece(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:16])
}

// CheckPiece returns an error unless the piece is the one that the name says.
func CheckPiece(name string, data []byte) error {
	if hash, _, _ := strings.Cut(name, "-"); hash != hashPiece(data) {
		return fmt.Errorf("settings piece %s: content does not match its name", name)
	}
	return nil
}

// WithPiece returns the tree with one of its pieces replaced. A piece that holds a node
// of another piece is an error.
func (t Tree) WithPiece(i int, data []byte) (out Tree, err error) {
	changes, err := DecodeChanges(data)
	if err != nil {
		return t, err
	}
	for _, c := range changes {
		if shardOf(c.Path) != i {
			return t, fmt.Errorf("settings piece %d: %s does not belong to it", i, c.Path)
		}
	}
	t.shards[i] = nil
	return t.edit(changes)
}
