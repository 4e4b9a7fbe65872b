package discoveryserver

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// listPath is the path of the list.
const listPath = "/api/targets"

// maxWaitMillis bounds how long a watch waits for a change.
const maxWaitMillis = 60_000

// reply is the list, or its changes after a revision.
type reply struct {
	Revision int64    `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []Member `json:"members"`
}

func (s *Server) handler(view func(Member) Member) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.handle(w, r, view) })
}

// handle replies with the list, or to a watch with the changes after its revision; it waits for one if there is none.
func (s *Server) handle(w http.ResponseWriter, r *http.Request, view func(Member) Member) {
	if r.URL.Path != listPath {
		http.NotFound(w, r)
		return
	}
	after, wait, watch := parseWatch(r.URL.RawQuery)
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		reply, changed, silent := s.reply(after, watch)
		if silent {
			<-r.Context().Done()
			return
		}
		for i := range reply.Members {
			reply.Members[i] = view(reply.Members[i])
		}
		if reply.Complete || len(reply.Members) > 0 {
			writeReply(w, reply)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			writeReply(w, reply)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// parseWatch parses the query string `index=REVISION&wait=MILLISECONDS`. Any other is no watch.
func parseWatch(query string) (after int64, wait time.Duration, watch bool) {
	parameters, watch := strings.CutPrefix(query, "index=")
	if !watch {
		return 0, 0, false
	}
	index, waitText, _ := strings.Cut(parameters, "&wait=")
	after, _ = strconv.ParseInt(index, 10, 64)
	millis, _ := strconv.ParseInt(waitText, 10, 64)
	return after, time.Duration(min(millis, maxWaitMillis)) * time.Millisecond, true
}

// reply returns what to reply now, and the channel that is closed at the next change. A watch from a future revision,
// which only another incarnation of the server can have given, gets the full list.
func (s *Server) reply(after int64, watch bool) (r reply, changed <-chan struct{}, silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r = reply{Revision: s.revision, Members: []Member{}}
	if !watch || after > s.revision {
		r.Complete = true
		r.Members = slices.Clone(s.members)
		return r, s.changed, s.silent
	}
	for _, c := range s.changes {
		if c.revision > after {
			r.Members = append(r.Members, c.Member)
		}
	}
	return r, s.changed, s.silent
}

func writeReply(w http.ResponseWriter, r reply) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(r) // the gatherer may have gone
}
