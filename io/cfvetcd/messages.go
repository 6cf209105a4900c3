// Package cfvetcd is a client of the platform's key-value store. It uses the JSON gateway of
// the etcd v3 API: range, txn, lease and watch.
package cfvetcd

// Header is the header of every response.
type Header struct {
	Revision int64 `json:"revision,string"`
}

// KeyValue is a key with its value and revisions. In JSON, keys and values are base64.
type KeyValue struct {
	Key            []byte `json:"key"`
	Value          []byte `json:"value,omitempty"`
	CreateRevision int64  `json:"create_revision,string"`
	ModRevision    int64  `json:"mod_revision,string"`
	Lease          int64  `json:"lease,string,omitempty"`
}

// RangeRequest reads one key, or the keys from Key up to and excluding RangeEnd.
type RangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

// RangeResponse is the response to a RangeRequest.
type RangeResponse struct {
	Header Header     `json:"header"`
	KVs    []KeyValue `json:"kvs,omitempty"`
}

// Compare is a condition on the last revision of a key. Revision 0 means that the key does not
// exist.
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

// DeleteRequest deletes a key.
type DeleteRequest struct {
	Key []byte `json:"key"`
}

// Operation is one operation of a transaction.
type Operation struct {
	Put    *PutRequest    `json:"request_put,omitempty"`
	Delete *DeleteRequest `json:"request_delete_range,omitempty"`
}

// TxnRequest is a transaction that runs its operations if all conditions are true.
type TxnRequest struct {
	Compare []Compare   `json:"compare,omitempty"`
	Success []Operation `json:"success"`
}

// TxnResponse is the response to a TxnRequest.
type TxnResponse struct {
	Header    Header `json:"header"`
	Succeeded bool   `json:"succeeded"`
}

// GrantRequest requests a lease of TTL seconds.
type GrantRequest struct {
	TTL int64 `json:"TTL,string"`
}

// GrantResponse is the response to a GrantRequest or a KeepAliveRequest. A TTL of 0 means that
// the lease has expired.
type GrantResponse struct {
	ID  int64 `json:"ID,string"`
	TTL int64 `json:"TTL,string"`
}

// KeepAliveRequest renews a lease.
type KeepAliveRequest struct {
	ID int64 `json:"ID,string"`
}

// KeepAliveResponse is the response to a KeepAliveRequest.
type KeepAliveResponse struct {
	Result GrantResponse `json:"result"`
}

// WatchRequest starts a watch.
type WatchRequest struct {
	Create RangeRequest `json:"create_request"`
}

// Event is one change of a watched key.
type Event struct {
	Type string   `json:"type,omitempty"`
	KV   KeyValue `json:"kv"`
}

// WatchResult is the content of one frame of a watch.
type WatchResult struct {
	Header Header  `json:"header"`
	Events []Event `json:"events,omitempty"`
}

// WatchFrame is one JSON value of the response stream of a watch.
type WatchFrame struct {
	Result WatchResult `json:"result"`
}
