package trace

import (
	"encoding/json"
	"net/http"
	"strings"
)

// Path is where a gatherer serves its traces: the list of all, and below it each by its query's ID.
const Path = "/-/trace"

// ListEntry is a query in the list that Path serves.
type ListEntry struct {
	ID       string  `json:"id"`
	Class    string  `json:"index"`
	Result   string  `json:"verdict"`
	Duration float64 `json:"took"`
	TwoPass  bool    `json:"two"`
}

// ServeHTTP serves the query that the last part of the path names, or else the list of all, the newest last.
func (r *Recorder) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	id := strings.TrimPrefix(strings.TrimPrefix(req.URL.Path, Path), "/")
	document, err := r.document(id)
	if document == nil || err != nil {
		http.Error(w, "no such lookup is kept", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(document) // an error is a client that has gone
}

// document is the JSON for an ID, nil where no such query is kept. It is encoded under the lock, since attempts may
// be added meanwhile.
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

// list is all that is kept, the newest last. The lock is held.
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
