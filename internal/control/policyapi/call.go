package policyapi

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// StatusError is an answer of a policy server with another status than 200.
type StatusError struct {
	Code    int
	Leader  string // the leader's name, where the server is not the leader and knows it
	Message string
}

// Error returns the server's message.
func (e *StatusError) Error() string { return e.Message }

// NotLeader reports whether the server has answered that it is not the leader.
func (e *StatusError) NotLeader() bool { return e.Code == http.StatusMisdirectedRequest }

// Reader reads a response.
type Reader[T any] func(io.Reader) (*T, error)

// Call sends a request to a path of a policy server and reads its response. Another status than 200 is a *StatusError.
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
			return nil, fmt.Errorf("answer %s: %w", resp.Status, err)
		}
		return nil, &StatusError{Code: resp.StatusCode, Leader: failure.Leader, Message: failure.Message}
	}
	response, err := read(resp.Body)
	if err != nil {
		return nil, fmt.Errorf("answer %s: %w", resp.Status, err)
	}
	return response, nil
}

// Endpoint is where a request goes.
type Endpoint struct {
	Method  string
	Address string // HOST:PORT of the policy server
	Path    string
}
