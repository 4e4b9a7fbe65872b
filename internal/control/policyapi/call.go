package policyapi

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// StatusError reports a response of a policy server whose status is not 200.
type StatusError struct {
	Code    int
	Leader  string // name of the leader, if the server is not the leader and knows which one is; else empty
	Message string
}

// Error returns the server's message.
func (e *StatusError) Error() string { return e.Message }

// NotLeader reports whether the server responded that it is not the leader.
func (e *StatusError) NotLeader() bool { return e.Code == http.StatusMisdirectedRequest }

// Reader reads a document and checks it.
type Reader[T any] func(io.Reader) (*T, error)

// Call sends a request to a policy server and reads the response. It returns a *StatusError if the response's status
// is not 200.
func Call[T any](ctx context.Context, client *http.Client, e Endpoint, request any, read Reader[T]) (*T, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, err
	}
	r, err := http.NewRequestWithContext(ctx, e.Method, "http://"+e.Address+e.Path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(r)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		failure, err := Read[ErrorResponse](resp.Body)
		if err != nil {
			return nil, fmt.Errorf("response %s: %w", resp.Status, err)
		}
		return nil, &StatusError{Code: resp.StatusCode, Leader: failure.Leader, Message: failure.Message}
	}
	response, err := read(resp.Body)
	if err != nil {
		return nil, fmt.Errorf("response %s: %w", resp.Status, err)
	}
	return response, nil
}

// Endpoint identifies the method, server and path of a request.
type Endpoint struct {
	Method  string
	Address string // HOST:PORT of the policy server
	Path    string
}
