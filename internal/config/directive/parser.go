// Package directive reads the operator's own files: one directive a line, in the manner of classic daemons.
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
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Limits that keep a file which is no configuration, such as a device or a log, from being read without end.
const (
	maxBytes        = 16 << 20
	maxIncludeDepth = 16
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

// Read reads a file from disk. Mistakes in it are returned as an ErrorList; any other error says that the
// file could not be read.
func (t *Table) Read(name string) error {
	_, err := t.ReadWithChecksum(name)
	return err
}

// ReadWithChecksum reads a file from disk and returns a checksum of it and of all that it includes.
func (t *Table) ReadWithChecksum(name string) (sum string, err error) {
	hash := xxhash.New()
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
		_, _ = hash.Write(text) // it never fails
		return text, err
	}
	err = t.ReadFrom(name, read, filepath.Glob)
	return fmt.Sprintf("%016x", hash.Sum64()), err
}

// ReadFrom reads a file through read and glob, so that files may come from elsewhere than the disk.
func (t *Table) ReadFrom(name string, read func(string) ([]byte, error), glob func(string) ([]string, error)) error {
	text, err := read(name)
	if err != nil {
		return err
	}
	p := &parser{table: t, readFile: read, glob: glob, firstUse: map[string]Position{}}
	p.parseFile(name, text)
	if len(p.errors) == 0 {
		return nil
	}
	return p.errors
}

// Parse reads a text that includes nothing.
func (t *Table) Parse(name, text string) error {
	return t.ReadFrom(name, func(string) ([]byte, error) { return []byte(text), nil },
		func(string) ([]string, error) { return nil, fmt.Errorf("nothing can be included here") })
}

func (p *parser) errorf(at Position, w, text string, args ...any) {
	p.errors = append(p.errors, &Error{at, w, fmt.Sprintf(text, args...)})
}

func (p *parser) parseFile(name string, text []byte) {
	p.includeStack = append(p.includeStack, name)
	defer func() { p.includeStack = p.includeStack[:len(p.includeStack)-1] }()
	for i, line := range strings.Split(string(text), "\n") {
		tokens, err := tokenize(name, i+1, strings.TrimSuffix(line, "\r"))
		switch {
		case err != nil:
			p.errors = append(p.errors, err)
		case len(tokens) == 0:
		case tokens[0].text == "include" && !tokens[0].quoted:
			p.include(tokens)
		default:
			p.parseDirective(tokens)
		}
	}
}

// include reads further files where the line stands. Their names are relative to the file that includes them; a
// name with * ? or [ stands for all that match, in the order of their names, and there may be none.
func (p *parser) include(words []token) {
	if len(words) != 2 {
		p.errorf(words[0].Position, "include", "takes one file name, in quotes if it holds blanks")
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
		if names, err = p.glob(name); err != nil {
			p.errorf(w.Position, w.text, "is no pattern of file names: %v", err)
			return
		}
	}
	if len(p.includeStack) >= maxIncludeDepth {
		p.errorf(w.Position, w.text, "is included %d files deep; %d is the most", len(p.includeStack), maxIncludeDepth)
		return
	}
	for _, name := range names {
		if cycle := p.cycle(name); cycle != nil {
			p.errorf(w.Position, w.text, "includes itself: %s; take one of these lines out", strings.Join(cycle, " > "))
			continue
		}
		text, err := p.readFile(name)
		if err != nil {
			p.errorf(w.Position, w.text, "cannot be read: %v", err)
			continue
		}
		p.parseFile(name, text)
	}
}

// cycle returns the chain of files by which a file includes itself, nil where it does not.
func (p *parser) cycle(name string) []string {
	for i, above := range p.includeStack {
		if filepath.Clean(above) == filepath.Clean(name) {
			return append(slices.Clone(p.includeStack[i:]), name)
		}
	}
	return nil
}
