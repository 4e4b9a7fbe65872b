package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"yokeroute/internal/gatherer/trace"
)

const (
	traceTimeout  = 10 * time.Second
	maxTraceBytes = 16 << 20
)

// explainOptions are the flags of explain lookup.
type explainOptions struct {
	gatherer string // address
	output   string
}

func explainCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "explain",
		Short: "say what a gatherer decided and why",
	}
	cmd.AddCommand(explainQueryCommand())
	return cmd
}

func explainQueryCommand() *cobra.Command {
	var options explainOptions
	cmd := &cobra.Command{
		Use:   "lookup [ID]",
		Short: "explain a lookup that a gatherer keeps a trace of, or list those",
		Args:  cobra.MaximumNArgs(1),
		Example: "  yokeroute explain lookup --gatherer 127.0.0.1:8000\n" +
			"  yokeroute explain lookup --gatherer 127.0.0.1:8000 9b1f03aa5c7e2d41",
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args) == 0 {
				return options.list(cmd.OutOrStdout())
			}
			return options.explain(cmd.OutOrStdout(), args[0])
		},
	}
	cmd.Flags().StringVar(&options.gatherer, "gatherer", "127.0.0.1:8000", "address of the gatherer")
	addCheckedOutputFlag(cmd, &options.output)
	return cmd
}

// list prints which queries the gatherer keeps traces of.
func (o *explainOptions) list(w io.Writer) error {
	r, err := o.get(trace.Path)
	if err != nil {
		return err
	}
	if r.code != http.StatusOK {
		return o.noTraces(r)
	}
	if o.output == outputJSON {
		return r.print(w)
	}
	return printTraceList(w, r.body)
}

// explain prints the trace of one query.
func (o *explainOptions) explain(w io.Writer, id string) error {
	r, err := o.get(trace.Path + "/" + url.PathEscape(id))
	if err != nil {
		return err
	}
	switch {
	case r.code == http.StatusNotFound && strings.Contains(string(r.body), "kept"):
		fmt.Fprintf(w, "%s keeps no trace of the lookup %s\n", o.gatherer, id)
		return errNegative
	case r.code != http.StatusOK:
		return o.noTraces(r)
	case o.output == outputJSON:
		return r.print(w)
	}
	var query trace.Query
	if err := json.Unmarshal(r.body, &query); err != nil {
		return fmt.Errorf("%s: %w", o.gatherer, err)
	}
	return printQueryTrace(w, &query)
}

// traceResponse is what a gatherer answered about its traces.
type traceResponse struct {
	code   int
	status string
	body   []byte
}

func (o *explainOptions) get(path string) (*traceResponse, error) {
	client := http.Client{Timeout: traceTimeout}
	resp, err := client.Get("http://" + o.gatherer + path)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxTraceBytes))
	if err != nil {
		return nil, err
	}
	return &traceResponse{code: resp.StatusCode, status: resp.Status, body: body}, nil
}

func (o *explainOptions) noTraces(r *traceResponse) error {
	return fmt.Errorf("%s keeps no traces (%s): the operator's file switches them on by trace", o.gatherer, r.status)
}

// print copies the body as the gatherer sent it.
func (r *traceResponse) print(w io.Writer) error {
	_, err := w.Write(append(r.body, '\n'))
	return err
}

func printTraceList(w io.Writer, body []byte) error {
	var queries []trace.ListEntry
	if err := json.Unmarshal(body, &queries); err != nil {
		return err
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "lookup\tindex\tphases\tended\ttook")
	for _, q := range queries {
		phases := "one"
		if q.TwoPass {
			phases = "two"
		}
		result := q.Result
		duration := fmt.Sprintf("%.1f ms", q.Duration)
		if result == "" {
			result = "still held"
			duration = "-"
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\n", q.ID, q.Class, phases, result, duration)
	}
	return table.Flush()
}
