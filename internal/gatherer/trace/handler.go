package trace

import (
	"encoding/json"
	"net/http"
	"strings"
)

// Path is the URL path at which a gatherer serves the list of its traces. Each trace is served below it by the ID of
// its query.
const Path = "/-/trace"

// ListEntry describes a query in the list that is served at Path.
type ListEntry struct {
	ID       string  `json:"id"`
	Class    string  `json:"index"`
	Result   string  `json:"verdict"`
	Duration float64 `json:"took"`
	TwoPass  bool    `json:"two"`
}

// ServeHTTP serves the trace of the query whose ID is the last element of the path, or without an ID the list of all
// traces, the newest last.
func (r *Recorder) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	id := strings.TrimPrefix(strings.TrimPrefix(req.URL.Path, Path), "/")
	document, err := r.document(id)
	if document == nil || err != nil {
		http.Error(w, "no such lookup is kept", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(document) // an error means that the client has disconnected
}

// document returns the JSON for an ID, or nil if there is no trace of such a query. It encodes the trace under the
// lock, since attempts may be added concurrently.
func (r *Recorder) document(id string) ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if id == "" {
		return json.Marshal(r.list())
	}
	query := r.byID[id]
	if query == nil {
		return nil, nil
	}
	return json.Marshal(query)
}

// list returns an entry for each trace, the newest last. The caller holds r.mu.
func (r *Recorder) list() []ListEntry {
	list := []ListEntry{}
	for i := range r.ring {
		t := r.ring[(r.oldest+i)%len(r.ring)]
		list = append(list, ListEntry{
			ID:       t.ID,
			Class:    t.Class,
			Result:   t.Result,
			Duration: t.Duration,
			TwoPass:  t.Decision != nil && t.Decision.TwoPass,
		})
	}
	return list
}
