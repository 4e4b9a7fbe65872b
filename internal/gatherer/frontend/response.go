package frontend

import (
	"encoding/json"
	"net/http"
	"strconv"

	"yokeroute/internal/gatherer/dispatch"
)

// The response texts that the protocol prescribes for results without hits.
const (
	textRejected      = "nacked"
	textFailed        = "aborted"
	textAbandoned     = "left"
	textInternalError = "failed"
)

const (
	millisPerSecond = 1000

	// hitOverhead is about how many bytes a hit takes in a response beside its value.
	hitOverhead = 64
)

// writeResult writes a query's result as the response.
func writeResult(w http.ResponseWriter, result dispatch.Result) {
	h := w.Header()
	switch result.Kind {
	case dispatch.Served:
		text := resultBody(result)
		h.Set("Content-Type", "application/json")
		h.Set("Content-Length", strconv.Itoa(len(text)))
		_, _ = w.Write(text) // a write fails if the client has disconnected, which the server detects by itself
	case dispatch.Rejected:
		if result.RetryAfter > 0 {
			h.Set("Retry-After", strconv.FormatFloat(result.RetryAfter/millisPerSecond, 'f', 3, 64))
		}
		writeText(w, http.StatusServiceUnavailable, textRejected)
	case dispatch.Failed:
		writeText(w, http.StatusGatewayTimeout, textFailed)
	case dispatch.Abandoned: // the client has disconnected, but without a response net/http would send an empty 200
		writeText(w, http.StatusGatewayTimeout, textAbandoned)
	default:
		writeText(w, http.StatusInternalServerError, textInternalError)
	}
}

// writeText writes a plain-text response of one line.
func writeText(w http.ResponseWriter, status int, text string) {
	h := w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(text)+1))
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text + "\n"))
}

// resultBody returns the body of a served query. It does not use encoding/json because hits are forwarded byte for byte
// as the shard servers returned them, whether valid UTF-8 or not.
func resultBody(result dispatch.Result) []byte {
	text := make([]byte, 0, result.ValueBytes()+(len(result.Hits)+len(result.EmptyShards)+1)*hitOverhead)
	text = append(text, `{"complete":`...)
	text = strconv.AppendBool(text, result.Complete)
	text = append(text, `,"hits":[`...)
	for i, hit := range result.Hits {
		if i > 0 {
			text = append(text, ',')
		}
		text = appendHit(text, hit)
	}
	text = append(text, ']')
	if len(result.EmptyShards) > 0 { // the first pass proved that these shards hold nothing
		text = append(text, `,"empty":[`...)
		for i, shard := range result.EmptyShards {
			if i > 0 {
				text = append(text, ',')
			}
			text = strconv.AppendInt(text, int64(shard), 10)
		}
		text = append(text, ']')
	}
	return append(text, '}')
}

func appendHit(text []byte, hit dispatch.Hit) []byte {
	text = append(text, `{"shard":`...)
	text = strconv.AppendInt(text, int64(hit.Shard), 10)
	if hit.Keys != nil { // the hit covers only these keys of the shard
		text = append(text, `,"keys":"`...)
		text = append(text, hit.Keys.Text()...)
		text = append(text, '"')
	}
	text = append(text, `,"doc":`...)
	text = appendJSONString(text, hit.Value)
	return append(text, '}')
}

// appendJSONString appends a value as a JSON string. Only a value that contains characters that JSON requires to be
// escaped is changed.
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
