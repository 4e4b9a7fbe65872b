package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"yokeroute/internal/tlskeys"
)

func keysCommand() *cobra.Command {
	root := &cobra.Command{Use: "keys", Short: "certificates for listeners with TLS: check them, make throw-away ones"}
	root.AddCommand(keysCheck(), keysMake())
	return root
}

// keysReport is what a check of keys comes to.
type keysReport struct {
	File        string    `json:"file"`
	Names       []string  `json:"names"`
	From        time.Time `json:"from"`
	Until       time.Time `json:"until"`
	Authorities []string  `json:"authorities"`
	Warnings    []string  `json:"warnings"`
	Trusted     bool      `json:"trusted_by_own_bundle"`
}

func keysCheck() *cobra.Command {
	var files tlskeys.Files
	var use, at, form string
	cmd := &cobra.Command{Use: "check", Short: "check a certificate, its key and a bundle as a service would before it uses them", Args: cobra.NoArgs,
		Example: "  yokeroute keys check --cert keys/server.pem --key keys/server.key --trust keys/ca.pem\n  yokeroute keys check --for client --at 2027-06-01 --cert keys/p1.pem --key keys/p1.key --trust keys/ca.pem",
		RunE: func(cmd *cobra.Command, _ []string) error {
			when := time.Now()
			if at != "" {
				var err error
				if when, err = time.Parse(time.DateOnly, at); err != nil {
					return fmt.Errorf("--at: %q is no date such as 2027-06-01", at)
				}
			}
			side := tlskeys.Server
			switch use {
			case "server":
			case "client":
				side = tlskeys.Client
			default:
				return fmt.Errorf("--for: %q is neither server nor client", use)
			}
			for flag, file := range map[string]string{"--cert": files.Cert, "--key": files.Key, "--trust": files.Trust} {
				if file == "" {
					return fmt.Errorf("%s names no file", flag)
				}
			}
			k, err := tlskeys.Read(files, side, when)
			if err != nil {
				fmt.Fprintln(cmd.OutOrStdout(), err)
				return errNegative
			}
			r := keysReport{File: files.Cert, Names: tlskeys.Names(k.Leaf), From: k.Leaf.NotBefore, Until: k.Leaf.NotAfter, Warnings: k.Warnings}
			for _, a := range k.Authorities {
				r.Authorities = append(r.Authorities, a.Subject.String())
			}
			r.Trusted = k.Trusts(k.Chain(), side, when)
			return showKeys(cmd.OutOrStdout(), r, form)
		}}
	cmd.Flags().StringVar(&files.Cert, "cert", "", "the certificate, PEM")
	cmd.Flags().StringVar(&files.Key, "key", "", "its key, PEM")
	cmd.Flags().StringVar(&files.Trust, "trust", "", "the bundle of authorities that the other end's certificate may be of, PEM")
	cmd.Flags().StringVar(&use, "for", "server", "which end the certificate is for: server or client")
	cmd.Flags().StringVar(&at, "at", "", "the day for which to check; today unless told")
	cmd.Flags().StringVarP(&form, "output", "o", "text", "form of the answer: text or json")
	return cmd
}

func showKeys(w io.Writer, r keysReport, form string) error {
	if form == "json" {
		return json.NewEncoder(w).Encode(r)
	}
	fmt.Fprintf(w, "%s: fit for use\n  names        %s\n  holds        %s to %s\n  trusts       %s\n", r.File, strings.Join(r.Names, ", "),
		r.From.UTC().Format(time.DateTime), r.Until.UTC().Format(time.DateTime), strings.Join(r.Authorities, "; "))
	if !r.Trusted {
		fmt.Fprintln(w, "  note         its own authority is not in this bundle; the other end's has to hold it")
	}
	for _, warning := range r.Warnings {
		fmt.Fprintln(w, "  warning     ", warning)
	}
	return nil
}

func keysMake() *cobra.Command {
	var server, client []string
	var days int
	cmd := &cobra.Command{Use: "make DIR", Short: "make a throw-away authority in a folder, or use the one there, and certificates of it; for tests and demonstrations",
		Args: cobra.ExactArgs(1), Example: "  yokeroute keys make keys --server control=127.0.0.1,localhost --client proxy-1 --client ann=ann.ops.example",
		RunE: func(cmd *cobra.Command, args []string) error {
			dir := args[0]
			if days < 1 || days > 3650 {
				return fmt.Errorf("--days: %d is not between 1 and 3650", days)
			}
			if err := os.MkdirAll(dir, 0o700); err != nil {
				return err
			}
			life := tlskeys.For(time.Duration(days) * 24 * time.Hour)
			ca, err := tlskeys.LoadAuthority(dir)
			if os.IsNotExist(statError(filepath.Join(dir, "ca.pem"))) {
				ca, err = tlskeys.NewAuthority("throw-away authority of "+filepath.Base(dir), life)
				if err == nil {
					err = ca.Save(dir)
				}
				if err == nil {
					fmt.Fprintf(cmd.OutOrStdout(), "%s: an authority whose key lies beside it; not for use where keys matter\n", filepath.Join(dir, "ca.pem"))
				}
			}
			if err != nil {
				return err
			}
			if ca.Certificate.NotAfter.Before(life.Until) {
				life.Until = ca.Certificate.NotAfter
			}
			for use, list := range [][]string{server, client} {
				for _, one := range list {
					name, names, _ := strings.Cut(one, "=")
					if names == "" {
						names = name
					}
					if name == "" || name == "ca" || name != filepath.Base(name) {
						return fmt.Errorf("%q is no name for a file of keys", name)
					}
					cert, key, err := ca.Issue(strings.Split(names, ","), life, tlskeys.Use(use))
					if err != nil {
						return err
					}
					f, err := tlskeys.Save(dir, name, cert, key)
					if err != nil {
						return err
					}
					fmt.Fprintf(cmd.OutOrStdout(), "%s: for a %s, %s, until %s\n", f.Cert, tlskeys.Use(use), names, life.Until.UTC().Format(time.DateOnly))
				}
			}
			return nil
		}}
	cmd.Flags().StringArrayVar(&server, "server", nil, "FILE=NAME,NAME: a certificate for a server of these names")
	cmd.Flags().StringArrayVar(&client, "client", nil, "FILE=NAME,NAME: a certificate for a client of these names")
	cmd.Flags().IntVar(&days, "days", 30, "for how long they hold")
	return cmd
}

func statError(file string) error {
	_, err := os.Stat(file)
	return err
}
