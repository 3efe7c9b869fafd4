package standin

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"github.com/agateyard/agateyard/internal/platform"
)

// replyVMs replies with the VM list and its entity tag, or with 304 if the request
// has that tag.
func replyVMs(w http.ResponseWriter, r *http.Request, vms []platform.VM) {
	body, err := json.Marshal(vms)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	tag := fmt.Sprintf(`"%016x"`, xxhash.Sum64(body))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body) // the caller may have disconnected
}
