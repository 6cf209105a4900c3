// Package cfvetcd is the client of the platform's key-value service, by the JSON form of
// etcd's version 3 protocol: range, txn, lease and watch.
package cfvetcd

// Header is the part that every answer has.
type Header struct {
	Revision int64 `json:"revision,string"`
}

// KeyValue is one key with its revisions. Keys and values travel as base64.
type KeyValue struct {
	Key            []byte `json:"key"`
	Value          []byte `json:"value,omitempty"`
	CreateRevision int64  `json:"create_revision,string"`
	ModRevision    int64  `json:"mod_revision,string"`
	Lease          int64  `json:"lease,string,omitempty"`
}

// RangeRequest reads a key, or the keys from Key up to RangeEnd.
type RangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

// RangeResponse answers a range request.
type RangeResponse struct {
	Header Header     `json:"header"`
	KVs    []KeyValue `json:"kvs,omitempty"`
}

// Compare is a condition on a key's last revision; 0 means that it does not exist.
type Compare struct {
	Target      string `json:"target"`
	Result      string `json:"result"`
	Key         []byte `json:"key"`
	ModRevision int64  `json:"mod_revision,string"`
}

// PutRequest writes a key.
type PutRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,string,omitempty"`
}

// DeleteRequest removes a key.
type DeleteRequest struct {
	Key []byte `json:"key"`
}

// Operation is one step of a transaction.
type Operation struct {
	Put    *PutRequest    `json:"request_put,omitempty"`
	Delete *DeleteRequest `json:"request_delete_range,omitempty"`
}

// TxnRequest runs its operations if all conditions hold.
type TxnRequest struct {
	Compare []Compare   `json:"compare,omitempty"`
	Success []Operation `json:"success"`
}

// TxnResponse answers a transaction.
type TxnResponse struct {
	Header    Header `json:"header"`
	Succeeded bool   `json:"succeeded"`
}

// GrantRequest asks for a lease of TTL seconds.
type GrantRequest struct {
	TTL int64 `json:"TTL,string"`
}

// GrantResponse answers a grant; a TTL of 0 means that the lease has ended.
type GrantResponse struct {
	ID  int64 `json:"ID,string"`
	TTL int64 `json:"TTL,string"`
}

// KeepAliveRequest renews a lease.
type KeepAliveRequest struct {
	ID int64 `json:"ID,string"`
}

// KeepAliveResponse answers a renewal.
type KeepAliveResponse struct {
	Result GrantResponse `json:"result"`
}

// WatchRequest opens a watch.
type WatchRequest struct {
	Create RangeRequest `json:"create_request"`
}

// Event is one change that a watch saw.
type Event struct {
	Type string   `json:"type,omitempty"`
	KV   KeyValue `json:"kv"`
}

// WatchResult is what one frame of a watch says.
type WatchResult struct {
	Header Header  `json:"header"`
	Events []Event `json:"events,omitempty"`
}

// WatchFrame is one line of a watch's answer.
type WatchFrame struct {
	Result WatchResult `json:"result"`
}
