// Package migrate turns a gatherer's configuration for one fleet into its counterpart for another. What belongs to
// the gatherer stays, what belongs to the fleet comes from a file in which the new fleet's operators state it.
package migrate

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"

	"yokeroute/internal/config/platform"
)

// gathererKeys are the settings of one gatherer, which no fleet states.
var gathererKeys = []string{"myNumber", "zone"}

// configKeys are the keys of a configuration.
var configKeys = []string{"name", "listen", "discovery", "seed", "limits", "known", "settings"}

// perClassLists are the keys of the domain whose lists have an entry for each class, in the classes' order.
var perClassLists = []string{"classFloor", "completeFrom", "partialEarns", "secondStep"}

type object = map[string]any

// Result is a configuration for the new fleet.
type Result struct {
	Text []byte
	Lost []string // what of the old configuration was not carried over, each with its reason
}

// Move returns the counterpart of a configuration at a fleet. A setting that the fleet's file leaves out stays as it
// was; one that it gives as null is removed.
func Move(file, fleet string) (*Result, error) {
	config, settings, err := readConfig(file)
	if err != nil {
		return nil, err
	}
	target, err := readFleet(fleet)
	if err != nil {
		return nil, err
	}
	r := &Result{}
	if _, found := config["known"]; found {
		delete(config, "known")
		r.lose("known: its servers are the old fleet's; discovery tells the new ones")
	}
	r.dropClasses(settings, target)
	r.merge("settings", settings, target)
	if err := checkMerged(settings); err != nil {
		return nil, fmt.Errorf("%s: settings.%w", file, err)
	}
	slices.Sort(r.Lost)
	if r.Text, err = json.MarshalIndent(config, "", "  "); err != nil {
		return nil, err
	}
	r.Text = append(r.Text, '\n')
	if _, err := platform.Parse(r.Text, func(string) string { return "" }); err != nil {
		return nil, fmt.Errorf("%s at %s: %w", file, fleet, err)
	}
	return r, nil
}

// readConfig reads a gatherer's configuration and its settings.
func readConfig(file string) (config, settings object, err error) {
	config, err = read(file)
	if err != nil {
		return nil, nil, err
	}
	for key := range config {
		if !slices.Contains(configKeys, key) {
			return nil, nil, fmt.Errorf("%s: %s: unknown key", file, key)
		}
	}
	settings, found := config["settings"].(object)
	if !found {
		return nil, nil, fmt.Errorf("%s: settings: missing, or no object", file)
	}
	if err := check(settings, false); err != nil {
		return nil, nil, fmt.Errorf("%s: settings.%w", file, err)
	}
	return config, settings, nil
}

// readFleet reads the settings that a fleet's operators state.
func readFleet(file string) (object, error) {
	settings, err := read(file)
	if err != nil {
		return nil, err
	}
	if err := check(settings, true); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	for _, key := range gathererKeys {
		if _, states := settings[key]; states {
			return nil, fmt.Errorf("%s: %s: belongs to one gatherer, not to a fleet", file, key)
		}
	}
	return settings, nil
}

func (r *Result) lose(reason string) { r.Lost = append(r.Lost, reason) }

// dropClasses notes the classes that the fleet does not have. Where the classes differ, it removes lists that have an
// entry for each class, which would be read for other classes.
func (r *Result) dropClasses(from, to object) {
	if _, states := to["classes"]; !states {
		return
	}
	before, after := names(from, "classes"), names(to, "classes")
	for _, name := range before {
		if !slices.Contains(after, name) {
			r.lose(fmt.Sprintf("settings.classes: index %q is not served there", name))
		}
	}
	domain, found := from["domain"].(object)
	if !found || slices.Equal(before, after) {
		return
	}
	stated, _ := to["domain"].(object)
	for _, key := range perClassLists {
		if _, found := domain[key]; !found {
			continue
		}
		delete(domain, key)
		if _, states := stated[key]; !states {
			r.lose("settings.domain." + key + ": goes by the old indexes")
		}
	}
}

// checkMerged checks what only shows once both sides are merged.
func checkMerged(settings object) error {
	if zones, found := settings["dcs"].([]any); found && !slices.Contains(zones, settings["zone"]) {
		return fmt.Errorf("zone: %v is none of the fleet's: %v", settings["zone"], zones)
	}
	number, count := settings["myNumber"], settings["balancers"]
	if number != nil && count != nil && number.(float64) >= count.(float64) {
		return fmt.Errorf("myNumber: %v, the fleet has %v gatherers", number, count)
	}
	return nil
}

// merge puts what the fleet states over what was.
func (r *Result) merge(path string, from, to object) {
	for _, key := range slices.Sorted(maps.Keys(to)) {
		was, had := from[key]
		inner, section := to[key].(object)
		before, same := was.(object)
		switch {
		case to[key] == nil:
			delete(from, key)
			if had {
				r.lose(path + "." + key + ": the fleet has none")
			}
		case section && same:
			r.merge(path+"."+key, before, inner)
		default:
			from[key] = to[key]
		}
	}
}

// names are those of a list of objects.
func names(settings object, list string) (all []string) {
	entries, _ := settings[list].([]any)
	for _, e := range entries {
		if o, is := e.(object); is {
			name, _ := o["name"].(string)
			all = append(all, name)
		}
	}
	return all
}

// read reads a file of one JSON object. Errors name the line of what is malformed.
func read(file string) (object, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	var o object
	d := json.NewDecoder(bytes.NewReader(text))
	if err = d.Decode(&o); err == nil && o == nil {
		err = errors.New("no object")
	}
	if err == nil {
		if _, more := d.Token(); !errors.Is(more, io.EOF) {
			err = errors.New("more than one object")
		}
	}
	if err != nil {
		at := d.InputOffset()
		if wrong := (*json.SyntaxError)(nil); errors.As(err, &wrong) {
			at = wrong.Offset
		}
		return nil, fmt.Errorf("%s: line %d: %w", file, 1+bytes.Count(text[:min(int(at), len(text))], []byte{'\n'}), err)
	}
	return o, nil
}
