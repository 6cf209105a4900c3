package cfvopenai

// TransferParams lists the KV cache blocks of a prompt that an engine imports before the prefill
// and those that it exports after the response.
type TransferParams struct {
	Import []ImportBlock `json:"import,omitempty"`
	Export []ExportBlock `json:"export,omitempty"`
}

// ImportBlock is a committed block at a store VM.
type ImportBlock struct {
	Index      int    `json:"index"` // index of the block in the prompt
	Key        string `json:"key"`
	Store      string `json:"store"` // address of the store VM
	Generation uint64 `json:"generation"`
	Length     int    `json:"length"`
	Checksum   string `json:"checksum"`
}

// ExportBlock is a block to write to a store VM.
type ExportBlock struct {
	Index int    `json:"index"`
	Key   string `json:"key"`
	Store string `json:"store"`
}

// Manifest commits a block that was written to a store VM. Blocks without a manifest are never
// read.
type Manifest struct {
	Key        string `json:"key"`
	Generation uint64 `json:"generation"`
	Length     int    `json:"length"`
	Checksum   string `json:"checksum"` // SHA-256 in hexadecimal
}

// LookupRequest asks a store VM which blocks it has.
type LookupRequest struct {
	Keys []string `json:"keys"`
}

// LookupResponse lists the manifests of the blocks that the store VM has.
type LookupResponse struct {
	Manifests []Manifest `json:"manifests"`
}

// StageResponse is the response to the write of a block, which is not committed yet.
type StageResponse struct {
	Generation uint64 `json:"generation"`
}
