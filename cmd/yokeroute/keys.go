package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"yokeroute/internal/tlskeys"
)

func keysCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "keys",
		Short: "certificates for listeners with TLS: check them, make throw-away ones",
	}
	cmd.AddCommand(keysCheckCommand(), keysMakeCommand())
	return cmd
}

// keysReport is the result of keys check.
type keysReport struct {
	File        string    `json:"file"`
	Names       []string  `json:"names"`
	NotBefore   time.Time `json:"from"`
	NotAfter    time.Time `json:"until"`
	Authorities []string  `json:"authorities"`
	Warnings    []string  `json:"warnings"`
	Trusted     bool      `json:"trusted_by_own_bundle"`
}

// keysCheckOptions are the flags of keys check.
type keysCheckOptions struct {
	files  tlskeys.Files
	use    string
	date   string // for which to check; empty for today
	output string
}

func keysCheckCommand() *cobra.Command {
	var options keysCheckOptions
	cmd := &cobra.Command{
		Use:   "check",
		Short: "check a certificate, its key and a bundle as a service would before it uses them",
		Args:  cobra.NoArgs,
		Example: "  yokeroute keys check --cert keys/server.pem --key keys/server.key --trust keys/ca.pem\n" +
			"  yokeroute keys check --for client --at 2027-06-01 " +
			"--cert keys/p1.pem --key keys/p1.key --trust keys/ca.pem",
		RunE: func(cmd *cobra.Command, _ []string) error { return options.check(cmd.OutOrStdout()) },
	}
	flags := cmd.Flags()
	flags.StringVar(&options.files.Cert, "cert", "", "the certificate, PEM")
	flags.StringVar(&options.files.Key, "key", "", "its key, PEM")
	flags.StringVar(&options.files.Trust, "trust", "",
		"the bundle of authorities that the other end's certificate may be of, PEM")
	flags.StringVar(&options.use, "for", tlskeys.Server.String(),
		"which end the certificate is for: server or client")
	flags.StringVar(&options.date, "at", "", "the day for which to check; today unless told")
	addOutputFlag(cmd, &options.output)
	return cmd
}

func (o *keysCheckOptions) check(w io.Writer) error {
	at, err := o.checkTime()
	if err != nil {
		return err
	}
	use, err := o.checkUse()
	if err != nil {
		return err
	}
	if err := o.requireFiles(); err != nil {
		return err
	}
	keys, err := tlskeys.Read(o.files, use, at)
	if err != nil {
		fmt.Fprintln(w, err)
		return errNegative
	}
	report := keysReport{
		File:      o.files.Cert,
		Names:     tlskeys.Names(keys.Leaf),
		NotBefore: keys.Leaf.NotBefore,
		NotAfter:  keys.Leaf.NotAfter,
		Warnings:  keys.Warnings,
		Trusted:   keys.Trusts(keys.Chain(), use, at),
	}
	for _, authority := range keys.Authorities {
		report.Authorities = append(report.Authorities, authority.Subject.String())
	}
	if o.output == outputJSON {
		return json.NewEncoder(w).Encode(report)
	}
	report.print(w)
	return nil
}

func (o *keysCheckOptions) checkTime() (time.Time, error) {
	if o.date == "" {
		return time.Now(), nil
	}
	at, err := time.Parse(time.DateOnly, o.date)
	if err != nil {
		return time.Time{}, fmt.Errorf("--at: %q is no date such as 2027-06-01", o.date)
	}
	return at, nil
}

func (o *keysCheckOptions) checkUse() (tlskeys.Use, error) {
	for _, use := range []tlskeys.Use{tlskeys.Server, tlskeys.Client} {
		if o.use == use.String() {
			return use, nil
		}
	}
	return 0, fmt.Errorf("--for: %q is neither server nor client", o.use)
}

func (o *keysCheckOptions) requireFiles() error {
	for flag, file := range map[string]string{
		"--cert":  o.files.Cert,
		"--key":   o.files.Key,
		"--trust": o.files.Trust,
	} {
		if file == "" {
			return fmt.Errorf("%s names no file", flag)
		}
	}
	return nil
}

func (r *keysReport) print(w io.Writer) {
	fmt.Fprintf(w, "%s: fit for use\n  names        %s\n  holds        %s to %s\n  trusts       %s\n",
		r.File, strings.Join(r.Names, ", "),
		r.NotBefore.UTC().Format(time.DateTime), r.NotAfter.UTC().Format(time.DateTime),
		strings.Join(r.Authorities, "; "))
	if !r.Trusted {
		fmt.Fprintln(w, "  note         its own authority is not in this bundle; the other end's has to hold it")
	}
	for _, warning := range r.Warnings {
		fmt.Fprintln(w, "  warning     ", warning)
	}
}
