// Package conf reads the operator's own files: one directive a line, in the manner of classic daemons.
//
//	# a comment
//	hall ktm-hall most 900/s spare 10%
//	include "halls/*.conf"
//
// A directive is a name, its arguments in order, and options by name in any order. Blanks part words; quotes hold a
// word with blanks together; a backslash before a quote or a backslash takes it as it is. What directives there are
// is told by a Table, which drives reading, checking, help and the reference page alike, so that they cannot drift
// apart. Each mistake is one message with file, line, column, the word at fault and what would be right.
package directive

import (
	"fmt"
	"io"
	"io/fs"
	"os"
	"path"
	"path/filepath"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Bounds against a file that is no configuration at all, such as a device or a log.
const (
	maxBytes        = 16 << 20
	maxIncludeDepth = 16 // of includes
)

// parser goes through a file and what it includes.
type parser struct {
	table        *Table
	readFile     func(name string) ([]byte, error)
	glob         func(pattern string) ([]string, error)
	includeStack []string
	firstUse     map[string]Position // directives that may stand only once
	errors       ErrorList
}

// Read reads a file from disk. All its mistakes come as Faults; another error says that it could not be read.
func (t *Table) Read(name string) error {
	_, err := t.ReadWithChecksum(name)
	return err
}

// ReadWithChecksum reads a file from disk and gives the fingerprint of all that it and what it includes says.
func (t *Table) ReadWithChecksum(name string) (sum string, err error) {
	all := xxhash.New()
	read := func(name string) ([]byte, error) {
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		defer f.Close()
		if info, err := f.Stat(); err != nil {
			return nil, err
		} else if info.IsDir() {
			return nil, &fs.PathError{Op: "read", Path: name, Err: fmt.Errorf("is a directory")}
		}
		text, err := io.ReadAll(io.LimitReader(f, maxBytes+1))
		if err == nil && len(text) > maxBytes {
			err = &fs.PathError{Op: "read", Path: name, Err: fmt.Errorf("is longer than %d MB", maxBytes>>20)}
		}
		all.Write(text)
		return text, err
	}
	err = t.ReadFrom(name, read, filepath.Glob)
	return fmt.Sprintf("%016x", all.Sum64()), err
}

// ReadFrom reads a file by way of read and glob, which a test or another source of files may give.
func (t *Table) ReadFrom(name string, read func(string) ([]byte, error), glob func(string) ([]string, error)) error {
	text, err := read(name)
	if err != nil {
		return err
	}
	r := &parser{table: t, readFile: read, glob: glob, firstUse: map[string]Position{}}
	r.parseFile(name, text)
	if len(r.errors) == 0 {
		return nil
	}
	return r.errors
}

// Parse reads a text that includes nothing.
func (t *Table) Parse(name, text string) error {
	return t.ReadFrom(name, func(string) ([]byte, error) { return []byte(text), nil },
		func(string) ([]string, error) { return nil, fmt.Errorf("nothing can be included here") })
}

func (r *parser) errorf(at Position, w, text string, args ...any) {
	r.errors = append(r.errors, &Error{at, w, fmt.Sprintf(text, args...)})
}

func (r *parser) parseFile(name string, text []byte) {
	r.includeStack = append(r.includeStack, name)
	defer func() { r.includeStack = r.includeStack[:len(r.includeStack)-1] }()
	for i, line := range strings.Split(string(text), "\n") {
		words, fault := tokenize(name, i+1, strings.TrimSuffix(line, "\r"))
		switch {
		case fault != nil:
			r.errors = append(r.errors, fault)
		case len(words) == 0:
		case words[0].text == "include" && !words[0].quoted:
			r.include(words)
		default:
			r.parseDirective(words)
		}
	}
}

// include reads further files where the line stands. Their names are relative to the file that includes them; a
// name with * ? or [ stands for all that match, in the order of their names, and there may be none.
func (r *parser) include(words []token) {
	if len(words) != 2 {
		r.errorf(words[0].Position, "include", "takes one file name, in quotes if it holds blanks")
		return
	}
	w := words[1]
	name := w.text
	if !path.IsAbs(filepath.ToSlash(name)) {
		name = filepath.Join(filepath.Dir(w.File), name)
	}
	names := []string{name}
	if strings.ContainsAny(w.text, "*?[") {
		var err error
		if names, err = r.glob(name); err != nil {
			r.errorf(w.Position, w.text, "is no pattern of file names: %v", err)
			return
		}
	}
	if len(r.includeStack) >= maxIncludeDepth {
		r.errorf(w.Position, w.text, "is included %d files deep; %d is the most", len(r.includeStack), maxIncludeDepth)
		return
	}
	for _, name := range names {
		circle := false
		for i, above := range r.includeStack {
			if filepath.Clean(above) == filepath.Clean(name) {
				chain := append(append([]string(nil), r.includeStack[i:]...), name)
				r.errorf(w.Position, w.text, "includes itself: %s; take one of these lines out", strings.Join(chain, " > "))
				circle = true
			}
		}
		if circle {
			continue
		}
		text, err := r.readFile(name)
		if err != nil {
			r.errorf(w.Position, w.text, "cannot be read: %v", err)
			continue
		}
		r.parseFile(name, text)
	}
}
