package frontend

import (
	"encoding/json"
	"net/http"
	"strconv"

	"yokeroute/internal/gatherer/dispatch"
)

// writeResult writes a verdict. The values go out as the shard servers gave them.
func writeResult(w http.ResponseWriter, v dispatch.Result) {
	h := w.Header()
	switch v.Kind {
	case dispatch.Served:
		text := resultBody(v)
		h.Set("Content-Type", "application/json")
		h.Set("Content-Length", strconv.Itoa(len(text)))
		w.Write(text) // an error here is a client that has gone; the server notices it as well
	case dispatch.Rejected:
		if v.RetryAfter > 0 {
			h.Set("Retry-After", strconv.FormatFloat(v.RetryAfter/1000, 'f', 3, 64))
		}
		writeText(w, http.StatusServiceUnavailable, "nacked")
	case dispatch.Failed:
		writeText(w, http.StatusGatewayTimeout, "aborted")
	case dispatch.Abandoned: // as good as nobody reads it; without a word net/http would say that all is well
		writeText(w, http.StatusGatewayTimeout, "left")
	default:
		writeText(w, http.StatusInternalServerError, "failed")
	}
}

func writeText(w http.ResponseWriter, status int, text string) {
	h := w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(text)+1))
	w.WriteHeader(status)
	w.Write([]byte(text + "\n"))
}

// resultBody is the body of an answer.
func resultBody(v dispatch.Result) []byte {
	text := append([]byte(nil), `{"complete":`...)
	text = strconv.AppendBool(text, v.Complete)
	text = append(text, `,"hits":[`...)
	for i, hit := range v.Hits {
		if i > 0 {
			text = append(text, ',')
		}
		text = append(text, `{"shard":`...)
		text = strconv.AppendInt(text, int64(hit.Shard), 10)
		if hit.Keys != nil { // of the shard's keys these alone
			text = append(text, `,"keys":"`...)
			text = append(append(text, hit.Keys.Text()...), '"')
		}
		text = append(text, `,"doc":`...)
		text = appendJSONString(text, hit.Value)
		text = append(text, '}')
	}
	text = append(text, ']')
	if len(v.EmptyShards) > 0 { // parts of a first pass that are in though they have no value
		text = append(text, `,"empty":[`...)
		for i, shard := range v.EmptyShards {
			if i > 0 {
				text = append(text, ',')
			}
			text = strconv.AppendInt(text, int64(shard), 10)
		}
		text = append(text, ']')
	}
	return append(text, '}')
}

// appendJSONString writes a value as text. Its bytes go out as they came unless JSON has to have them escaped.
func appendJSONString(text, value []byte) []byte {
	for _, b := range value {
		if b < ' ' || b == '"' || b == '\\' {
			quoted, _ := json.Marshal(string(value)) // a string always marshals
			return append(text, quoted...)
		}
	}
	text = append(text, '"')
	text = append(text, value...)
	return append(text, '"')
}
