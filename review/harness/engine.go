package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// partKey names a part of a prompt in a replica's cache.
type partKey struct{ salt, id string }

// partUse is the use of a part that the request of another tenant made.
type partUse struct {
	request, tenant, maker, id, replica string
	at                                  time.Time
}

// engine is what a model replica does besides the requests: it caches the parts of prompts, and tells its state.
type engine struct {
	model string

	mu     sync.Mutex
	makers map[partKey]string // tenant whose request made the part
	uses   []partUse
}

// startEngine starts a replica that runs version 1 of a model's weights.
func startEngine(id, service, zone, model string, rec *recorder) (*replica, *engine, error) {
	e := &engine{model: model, makers: make(map[partKey]string)}
	s, err := startReplica(id, service, zone, 0, rec)
	if err != nil {
		return nil, nil, err
	}
	s.engine = e
	return s, e, nil
}

// serveControl answers the calls that are no requests, and reports whether it was one.
func (e *engine) serveControl(w http.ResponseWriter, r *http.Request) bool {
	switch r.URL.Path {
	case "/-/report":
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{
			"stage": "colocated", "models": []any{map[string]any{"name": e.model, "version": 1, "adapters": []string{}}}, "busy": false, "seq": 0,
			"waiting": 0, "running": 0, "kvUsed": 0, "kvTotal": 90000, "handles": 0,
		}) // the caller may be gone
	case "/-/order":
		w.WriteHeader(http.StatusOK) // the only version that there is
	default:
		return false
	}
	_, _ = io.Copy(io.Discard, r.Body)
	return true
}

// prefill reads the prompt of a request. Parts that are cached under its salt are not read again, as long as all parts
// before them are cached too.
func (e *engine) prefill(r *http.Request, replica string, rec *recorder) {
	tenant, salt, id := r.Header.Get(headerPrefix+"Tenant"), r.Header.Get(headerPrefix+"Cache-Salt"), r.Header.Get(headerPrefix+"Request-Id")
	e.mu.Lock()
	defer e.mu.Unlock()
	cached := true
	for _, item := range strings.Split(r.Header.Get(headerPrefix+"Prompt-Prefix"), ",") {
		part, _, _ := strings.Cut(item, ":")
		k := partKey{salt, part}
		maker, found := e.makers[k]
		cached = cached && found
		if !cached {
			e.makers[k] = tenant
			rec.add("replica %s prefills part %s of request %s of %s under salt %q", replica, part, id, tenant, salt)
			continue
		}
		rec.add("replica %s finds part %s of request %s of %s under salt %q; a request of %s made it", replica, part, id, tenant, salt, maker)
		if maker != tenant {
			e.uses = append(e.uses, partUse{request: id, tenant: tenant, maker: maker, id: part, replica: replica, at: time.Now()})
		}
	}
}

// allUses returns the uses of parts that requests of other tenants made.
func (e *engine) allUses() []partUse {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]partUse(nil), e.uses...)
}

// promptHeader returns the headers of a request with a prompt of a shared part and one of its own.
func promptHeader(model, shared string, n int) map[string]string {
	return map[string]string{
		headerPrefix + "Model": model, headerPrefix + "Token-Count": "1050,20", headerPrefix + "Prompt-Prefix": fmt.Sprintf("%s:800,%08x:250", shared, n),
	}
}
