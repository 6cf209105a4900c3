package cfvfakeengine

import (
	"net/http"

	"coltsfootvalve/common/cfvhttp"
)

func (e *Engine) serveImport(w http.ResponseWriter, _ *http.Request) {
	cfvhttp.WriteJSON(w, http.StatusNotImplemented, map[string]string{"error": "no cache import"})
}

func (e *Engine) serveExport(w http.ResponseWriter, _ *http.Request) {
	cfvhttp.WriteJSON(w, http.StatusNotImplemented, map[string]string{"error": "no cache export"})
}
