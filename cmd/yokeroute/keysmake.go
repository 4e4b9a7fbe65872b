package main

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"yokeroute/internal/tlskeys"
)

const (
	day            = 24 * time.Hour
	defaultKeyDays = 30
	maxKeyDays     = 3650
	privateDirMode = 0o700
	authorityFile  = "ca.pem"
	authorityName  = "ca" // reserved: its files are ca.pem and ca.key
)

// keysMakeOptions are the flags of keys make.
type keysMakeOptions struct {
	servers []string // FILE=NAME,NAME
	clients []string
	days    int
}

func keysMakeCommand() *cobra.Command {
	var options keysMakeOptions
	cmd := &cobra.Command{
		Use: "make DIR",
		Short: "make a throw-away authority in a folder, or use the one there, and certificates of it; " +
			"for tests and demonstrations",
		Args: cobra.ExactArgs(1),
		Example: "  yokeroute keys make keys --server control=127.0.0.1,localhost " +
			"--client proxy-1 --client ann=ann.ops.example",
		RunE: func(cmd *cobra.Command, args []string) error {
			return options.run(cmd.OutOrStdout(), args[0])
		},
	}
	flags := cmd.Flags()
	flags.StringArrayVar(&options.servers, "server", nil, "FILE=NAME,NAME: a certificate for a server of these names")
	flags.StringArrayVar(&options.clients, "client", nil, "FILE=NAME,NAME: a certificate for a client of these names")
	flags.IntVar(&options.days, "days", defaultKeyDays, "for how long they hold")
	return cmd
}

func (o *keysMakeOptions) run(w io.Writer, dir string) error {
	if o.days < 1 || o.days > maxKeyDays {
		return fmt.Errorf("--days: %d is not between 1 and %d", o.days, maxKeyDays)
	}
	if err := os.MkdirAll(dir, privateDirMode); err != nil {
		return err
	}
	validity := tlskeys.ValidFor(time.Duration(o.days) * day)
	authority, err := openAuthority(w, dir, validity)
	if err != nil {
		return err
	}
	if authority.Certificate.NotAfter.Before(validity.NotAfter) {
		validity.NotAfter = authority.Certificate.NotAfter
	}
	issuer := keyIssuer{authority: authority, dir: dir, validity: validity}
	for _, spec := range o.servers {
		if err := issuer.issue(w, spec, tlskeys.Server); err != nil {
			return err
		}
	}
	for _, spec := range o.clients {
		if err := issuer.issue(w, spec, tlskeys.Client); err != nil {
			return err
		}
	}
	return nil
}

// openAuthority reads the folder's authority, or makes one where there is none.
func openAuthority(w io.Writer, dir string, validity tlskeys.Validity) (*tlskeys.Authority, error) {
	file := filepath.Join(dir, authorityFile)
	if _, err := os.Stat(file); !errors.Is(err, fs.ErrNotExist) {
		return tlskeys.LoadAuthority(dir)
	}
	authority, err := tlskeys.NewAuthority("throw-away authority of "+filepath.Base(dir), validity)
	if err != nil {
		return nil, err
	}
	if err := authority.Save(dir); err != nil {
		return nil, err
	}
	fmt.Fprintf(w, "%s: an authority whose key lies beside it; not for use where keys matter\n", file)
	return authority, nil
}

// keyIssuer issues certificates into a folder.
type keyIssuer struct {
	authority *tlskeys.Authority
	dir       string
	validity  tlskeys.Validity
}

// issue writes a key and its certificate by a flag's value, FILE=NAME,NAME or a name that is both.
func (i *keyIssuer) issue(w io.Writer, spec string, use tlskeys.Use) error {
	file, names, _ := strings.Cut(spec, "=")
	if names == "" {
		names = file
	}
	if file == "" || file == authorityName || file != filepath.Base(file) {
		return fmt.Errorf("%q is no name for a file of keys", file)
	}
	cert, key, err := i.authority.Issue(strings.Split(names, ","), i.validity, use)
	if err != nil {
		return err
	}
	saved, err := tlskeys.Save(i.dir, file, cert, key)
	if err != nil {
		return err
	}
	fmt.Fprintf(w, "%s: for a %s, %s, until %s\n",
		saved.Cert, use, names, i.validity.NotAfter.UTC().Format(time.DateOnly))
	return nil
}
