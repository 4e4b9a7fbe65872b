package policyclient

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"yokeroute/internal/control/policyapi"
)

// readKeptFile returns a document that a released version wrote.
func readKeptFile(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("..", "policyapi", "testdata", "kept", name))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// decode parses a kept document.
func decode[T any](t *testing.T, name string) (doc T) {
	t.Helper()
	if err := json.Unmarshal(readKeptFile(t, name), &doc); err != nil {
		t.Fatal(err)
	}
	return doc
}

// request is a request that a fake policy server has received.
type request struct{ method, path, body string }

// fakeServer starts a server that answers every request with a kept document. The returned function returns the
// requests received since its last call.
func fakeServer(t *testing.T, answer string) (address string, received func() []request) {
	t.Helper()
	requests := make(chan request, 100)
	text := readKeptFile(t, answer)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if kind := r.Header.Get("Content-Type"); kind != "application/json" {
			t.Errorf("content type %q", kind)
		}
		select {
		case requests <- request{r.Method, r.URL.Path, string(body)}:
		default:
		}
		w.Write(text)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), func() (all []request) {
		for {
			select {
			case r := <-requests:
				all = append(all, r)
			default:
				return all
			}
		}
	}
}

// TestKeptRequests checks that each method of the client sends the same bytes as a released version, and returns the
// content of the response.
func TestKeptRequests(t *testing.T) {
	const noBody = "null"
	proposal := decode[policyapi.ProposeRequest](t, "proposal.json").Change
	for call, c := range map[string]struct {
		answer, request string
		do              func(ctx context.Context, c *Client) error
	}{
		"GET /policy/status": {"answer-status.json", noBody, func(ctx context.Context, c *Client) error {
			got, err := c.Status(ctx)
			if want := decode[policyapi.StatusResponse](t, "answer-status.json"); !reflect.DeepEqual(got, want.Status) {
				t.Errorf("status %+v, want %+v", got, want.Status)
			}
			return err
		}},
		"POST /policy/propose": {"answer-proposed.json", "proposal.json", func(ctx context.Context, c *Client) error {
			got, err := c.Propose(ctx, Proposal{
				ID:     "0123456789abcdef01234567",
				Base:   41,
				Policy: proposal.Policy,
				Reason: "host s9 <is> \"repaired\"",
			})
			if want := decode[policyapi.ChangeResponse](t, "answer-proposed.json"); !reflect.DeepEqual(got, want.Change) {
				t.Errorf("change %+v, want %+v", got, want.Change)
			}
			return err
		}},
		"POST /policy/give-up": {"answer-empty.json", "give-up.json", func(ctx context.Context, c *Client) error {
			return c.Abandon(ctx, 44, "reverted")
		}},
		"POST /policy/forget": {"answer-empty.json", "forget.json", func(ctx context.Context, c *Client) error {
			return c.Forget(ctx, "g7")
		}},
		"POST /policy/steward": {"answer-empty.json", "member-in.json", func(ctx context.Context, c *Client) error {
			return c.AddServer(ctx, "s4")
		}},
	} {
		address, received := fakeServer(t, c.answer)
		if err := c.do(t.Context(), &Client{Servers: []string{address}}); err != nil {
			t.Errorf("%s: %v", call, err)
		}
		body := c.request
		if body != noBody {
			body = string(readKeptFile(t, c.request))
		}
		all := received()
		if len(all) != 1 || all[0].method+" "+all[0].path != call || all[0].body != body {
			t.Errorf("%s: received %q, want one request with the body %s", call, all, body)
		}
	}
	address, received := fakeServer(t, "answer-empty.json")
	if err := (&Client{Servers: []string{address}}).RemoveServer(t.Context(), "s4"); err != nil {
		t.Error(err)
	}
	if all := received(); len(all) != 1 || all[0].body != string(readKeptFile(t, "member-out.json")) {
		t.Errorf("RemoveServer: received %q", all)
	}
}
