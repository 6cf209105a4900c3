package cfvopenai

// TransferParams tells an engine which cache blocks of the prompt to import before it
// prefills and which to export once it has answered.
type TransferParams struct {
	Import []ImportBlock `json:"import,omitempty"`
	Export []ExportBlock `json:"export,omitempty"`
}

// ImportBlock is a committed block of a store VM.
type ImportBlock struct {
	Index      int    `json:"index"` // of the piece in the prompt
	Key        string `json:"key"`
	Store      string `json:"store"` // address
	Generation uint64 `json:"generation"`
	Length     int    `json:"length"`
	Checksum   string `json:"checksum"`
}

// ExportBlock is a block that a store VM shall hold.
type ExportBlock struct {
	Index int    `json:"index"`
	Key   string `json:"key"`
	Store string `json:"store"`
}

// Manifest commits a written block of a store VM: without it nobody reads the block.
type Manifest struct {
	Key        string `json:"key"`
	Generation uint64 `json:"generation"`
	Length     int    `json:"length"`
	Checksum   string `json:"checksum"` // SHA-256 in hexadecimal
}

// LookupRequest asks a store VM which blocks it holds.
type LookupRequest struct {
	Keys []string `json:"keys"`
}

// LookupResponse lists the manifests of the blocks that are held.
type LookupResponse struct {
	Manifests []Manifest `json:"manifests"`
}

// Staged answers the write of a block that is not committed yet.
type StageResponse struct {
	Generation uint64 `json:"generation"`
}
