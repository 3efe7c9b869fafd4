package standin

import (
	"encoding/json"
	"net/http"
)

// addAdminHandlers registers the handlers of the admin API, which is served even
// while the endpoint is frozen.
func (e *Endpoint) addAdminHandlers(mux *http.ServeMux) {
	mux.HandleFunc("GET /admin/effects", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Effects()) })
	mux.HandleFunc("GET /admin/stats", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Stats()) })
	mux.HandleFunc("GET /admin/faults", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Faults()) })
	mux.HandleFunc("POST /admin/faults", func(w http.ResponseWriter, r *http.Request) {
		f, ok := readFaults(w, r)
		if ok {
			e.SetFaults(f)
		}
	})
	mux.HandleFunc("POST /admin/restart", func(http.ResponseWriter, *http.Request) {
		// Restart resets this connection too, so it runs in the background.
		go e.Restart()
	})
}

func readFaults(w http.ResponseWriter, r *http.Request) (Faults, bool) {
	var f Faults
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<16))
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return f, false
	}
	return f, true
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
