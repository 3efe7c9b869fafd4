package faultproxy

import (
	"encoding/json"
	"net/http"
)

// Handler serves the admin API: GET and POST /admin/faults with Settings as JSON,
// and POST /admin/cut, which resets all open connections.
func (p *Proxy) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /admin/faults", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(p.Settings())
	})
	mux.HandleFunc("POST /admin/faults", func(w http.ResponseWriter, r *http.Request) {
		var s Settings
		d := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<16))
		d.DisallowUnknownFields()
		err := d.Decode(&s)
		if err == nil {
			err = p.Set(s)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
		}
	})
	mux.HandleFunc("POST /admin/cut", func(http.ResponseWriter, *http.Request) { p.Cut() })
	return mux
}
