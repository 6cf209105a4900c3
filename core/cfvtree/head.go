package cfvtree

import (
	"encoding/json"
	"fmt"
	"time"
)

// Head describes one accepted revision of the tree and names its pieces.
type Head struct {
	Revision uint64
	ChangeID string
	Author   string
	Time     time.Time
	Changes  []string
	Pieces   []string
	Retired  []Retired
}

// Retired is a piece that the current revision no longer uses. It is deleted only after a
// delay, because nodes may still read older revisions.
type Retired struct {
	Name string
	At   time.Time
}

type retiredJSON struct {
	Name     string `json:"name"`
	AtMillis int64  `json:"atMillis"`
}

type headJSON struct {
	Revision uint64   `json:"revision"`
	ChangeID string   `json:"changeId"`
	Author   string   `json:"author"`
	Time     string   `json:"time"`
	Changes  []string `json:"changes"`
	Pieces   []string `json:"pieces"`

	Retired []retiredJSON `json:"retired,omitempty"`
}

// EncodeHead returns the head as JSON.
func EncodeHead(h Head) []byte {
	var retired []retiredJSON
	for _, r := range h.Retired {
		retired = append(retired, retiredJSON{r.Name, r.At.UnixMilli()})
	}
	data, err := json.Marshal(headJSON{
		Revision: h.Revision,
		ChangeID: h.ChangeID,
		Author:   h.Author,
		Time:     h.Time.UTC().Format(time.RFC3339Nano),
		Changes:  h.Changes,
		Pieces:   h.Pieces,
		Retired:  retired,
	})
	if err != nil {
		panic(err) // can't happen: strings and numbers always encode
	}
	return data
}

// DecodeHead decodes a head and checks that it is complete.
func DecodeHead(data []byte) (h Head, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("settings head: %w", err)
		}
	}()
	var j headJSON
	if err = json.Unmarshal(data, &j); err != nil {
		return h, err
	}
	at, err := time.Parse(time.RFC3339Nano, j.Time)
	if err != nil {
		return h, fmt.Errorf("time: %w", err)
	}
	if j.Revision == 0 {
		return h, fmt.Errorf("revision: missing")
	}
	if len(j.Pieces) != PieceCount {
		return h, fmt.Errorf("pieces: want %d, got %d", PieceCount, len(j.Pieces))
	}
	h = Head{j.Revision, j.ChangeID, j.Author, at, j.Changes, j.Pieces, nil}
	for _, r := range j.Retired {
		h.Retired = append(h.Retired, Retired{r.Name, time.UnixMilli(r.AtMillis)})
	}
	return h, nil
}
