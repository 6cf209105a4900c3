package cfvfakekv

import (
	"encoding/json"
	"net/http"
	"time"

	"coltsfootvalve/common/cfvhttp"
	"coltsfootvalve/io/cfvetcd"
	"coltsfootvalve/standins/cfvfault"
)

// progressInterval is the interval of progress notifications on an idle watch.
const progressInterval = time.Second

// watchBuffer is the number of undelivered events at which a slow watch is closed.
const watchBuffer = 256

func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request) {
	var req cfvetcd.WatchRequest
	if !cfvhttp.ReadJSON(w, r, 1<<16, &req) {
		return
	}
	if s.faults.FaultFor(r.URL.Path).Mode == cfvfault.Outage {
		cfvfault.DropConnection()
	}
	watch := &watcher{key: string(req.Create.Key), end: string(req.Create.RangeEnd), events: make(chan cfvetcd.Event, watchBuffer)}
	s.mu.Lock()
	s.stats.Watches++
	s.store.watchers[watch] = true
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.store.watchers, watch)
		s.mu.Unlock()
	}()
	s.streamWatch(w, r, watch)
}

// streamWatch sends an empty frame first, then a frame for each event and for each progress
// notification.
func (s *Server) streamWatch(w http.ResponseWriter, r *http.Request, watch *watcher) {
	tick := time.NewTicker(progressInterval)
	defer tick.Stop()
	enc := json.NewEncoder(w)
	for first := true; ; first = false {
		var events []cfvetcd.Event
		if !first {
			select {
			case <-r.Context().Done():
				return
			case e, ok := <-watch.events:
				if !ok {
					return
				}
				events = append(events, e)
			case <-tick.C:
			}
		}
		switch s.faults.FaultFor(r.URL.Path).Mode {
		case cfvfault.Outage:
			cfvfault.DropConnection()
		case cfvfault.Silent:
			<-r.Context().Done()
			return
		}
		s.mu.Lock()
		header := s.store.header()
		s.mu.Unlock()
		if enc.Encode(cfvetcd.WatchFrame{Result: cfvetcd.WatchResult{Header: header, Events: events}}) != nil {
			return
		}
		if f, ok := w.(http.Flusher); ok {
			f.Flush()
		}
	}
}
