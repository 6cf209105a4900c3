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

// PieceCount is the number of pieces into which a tree is split for storage.
const PieceCount = 64

// MaxPieceBytes is the maximum size of a piece: the largest value that the key-value store
// accepts.
const MaxPieceBytes = 1 << 20

// DecodeChanges decodes a settings document, a JSON object that maps paths to settings,
// into the changes that apply it. A null value unsets the setting.
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

// decodeNode returns the changes for the settings of one node, sorted by name.
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

// decodeValue decodes and checks the JSON value of a setting.
func decodeValue(name Name, data []byte) (v Value, err error) {
	f, ok := fieldsByName[name]
	if !ok {
		return v, fmt.Errorf("%s: no such setting", name)
	}
	var raw any
	if err = json.Unmarshal(data, &raw); err != nil {
		return v, fmt.Errorf("%s: %w", name, err)
	}
	switch x := raw.(type) {
	case float64:
		if x != math.Trunc(x) || math.Abs(x) > maxExactInt {
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

// Encode returns the tree as a settings document, which DecodeChanges reads.
func (t Tree) Encode() []byte {
	doc := make(map[string]map[Name]any, t.Len())
	for _, nodes := range t.shards {
		addNodes(doc, nodes)
	}
	return encodeDocument(doc)
}

// addNodes adds the settings of the nodes to a document.
func addNodes(doc map[string]map[Name]any, nodes map[string]node) {
	for p, n := range nodes {
		values := make(map[Name]any, len(n))
		for _, s := range n {
			values[s.name] = s.value.jsonValue()
		}
		doc[p] = values
	}
}

func encodeDocument(doc map[string]map[Name]any) []byte {
	data, err := json.Marshal(doc)
	if err != nil {
		panic(err) // can't happen: maps of strings, numbers and booleans always encode
	}
	return data
}

// jsonValue returns the value in the type that encoding/json encodes.
func (v Value) jsonValue() any {
	switch v.kind {
	case valueInt:
		return v.number
	case valueBool:
		return v.flag
	default:
		return v.text
	}
}

// Split returns the pieces of the tree. A change of one node changes only one piece.
func (t Tree) Split() (out [][]byte, err error) {
	for i, nodes := range t.shards {
		doc := make(map[string]map[Name]any, len(nodes))
		addNodes(doc, nodes)
		data := encodeDocument(doc)
		if len(data) > MaxPieceBytes {
			return nil, fmt.Errorf("settings: piece %d holds %d bytes, more than %d", i, len(data), MaxPieceBytes)
		}
		out = append(out, data)
	}
	return out, nil
}

// PieceName returns the name of a piece that a revision adds: the hash of its content and
// the revision. A name is therefore never reused for other content.
func PieceName(data []byte, revision uint64) string {
	return hashPiece(data) + "-" + strconv.FormatUint(revision, 10)
}

func hashPiece(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:16])
}

// CheckPiece returns an error if the content of a piece does not match the hash in its name.
func CheckPiece(name string, data []byte) error {
	if hash, _, _ := strings.Cut(name, "-"); hash != hashPiece(data) {
		return fmt.Errorf("settings piece %s: content does not match its name", name)
	}
	return nil
}

// WithPiece returns the tree with piece i replaced. It returns an error if data contains a
// node that belongs to another piece.
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
