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
	"strings"

	"yokeroute/internal/config/platform"
)

// A known word tells what a key may hold: a number, a share of 1, a mark, a word, words, numbers, or any of a few.
var known = map[string]string{
	"balancers": "number", "myNumber": "number", "tick": "number", "tier": "number", "overShareWorth": "share",
	"countedBy": "request|work", "discovery": "pushed|on_request", "zone": "word", "weightSource": "silent|nominal|rough|live",
	"family": "word", "kinds": "words", "dcs": "words", "stages": "words", "clients.marksRetry": "mark",
	"classes.name": "word", "classes.goalTime": "number", "classes.hardLimit": "number", "classes.worth": "number",
	"classes.effect": "pure|token|side_effect", "classes.group": "all|zone|cell", "classes.window": "number",
	"classes.lateValue": "share", "classes.streaming": "mark", "classes.aimStretch": "number",
	"tenants.name": "word", "tenants.portion": "share", "tenants.quotaPerS": "number",
	"domain.cells": "number", "domain.inARow": "number", "domain.shards": "number", "domain.call": "number",
	"domain.partsACall": "number", "domain.classFloor": "shares", "domain.completeFrom": "shares",
	"domain.partialEarns": "shares", "domain.secondStep": "numbers", "domain.warmKeys": "mark",
	"limits.attemptsCap": "number", "limits.cancel": "mark", "limits.connectTimeout": "number", "limits.cpuUsPerRequest": "number",
	"limits.cpuUsPerS": "number", "limits.idleClose": "number", "limits.maxRetryAfter": "number", "limits.mayTell": "mark",
	"limits.mostHeld": "number", "limits.probes": "mark", "limits.retryAfter": "mark", "limits.secondCopies": "mark",
	"limits.streamsPerConn": "number", "loadInfo.how": "piggyback|pull|silent", "loadInfo.fields": "words",
	"rules.answerSlack": "number", "rules.budgetShare": "number", "rules.cold": "number", "rules.coldShare": "share",
	"rules.drainGrace": "number", "rules.extraFloor": "number", "rules.fall": "number", "rules.fallMultiple": "number",
	"rules.mustAskIn": "number", "rules.resendSpan": "number",
}

// sections hold keys of their own; goal and penalties are the operators' prices, any name with a number.
var sections = []string{"clients", "classes", "tenants", "domain", "limits", "loadInfo", "rules", "goal", "penalties"}

// own are the settings of one gatherer: no fleet states them.
var own = []string{"myNumber", "zone"}

type object = map[string]any

// Result is a configuration for the new fleet.
type Result struct {
	Text []byte
	Lost []string // what of the old one it could not carry over, each with its reason
}

// Move makes the counterpart of a configuration at a fleet. A setting that the fleet's file leaves out stays as it
// was; one that it gives as null stands for none, and goes.
func Move(file, fleet string) (*Result, error) {
	old, err := read(file)
	if err != nil {
		return nil, err
	}
	for key := range old {
		if !slices.Contains([]string{"name", "listen", "discovery", "seed", "limits", "known", "settings"}, key) {
			return nil, fmt.Errorf("%s: %s: unknown key", file, key)
		}
	}
	from, is := old["settings"].(object)
	if !is {
		return nil, fmt.Errorf("%s: settings: missing, or no object", file)
	}
	if err := check(from, false); err != nil {
		return nil, fmt.Errorf("%s: settings.%w", file, err)
	}
	to, err := read(fleet)
	if err != nil {
		return nil, err
	}
	if err := check(to, true); err != nil {
		return nil, fmt.Errorf("%s: %w", fleet, err)
	}
	for _, key := range own {
		if _, states := to[key]; states {
			return nil, fmt.Errorf("%s: %s: belongs to one gatherer, not to a fleet", fleet, key)
		}
	}
	r := &Result{}
	if _, holds := old["known"]; holds {
		delete(old, "known")
		r.Lost = append(r.Lost, "known: its servers are the old fleet's; discovery tells the new ones")
	}
	for _, name := range names(from, "classes") {
		if _, states := to["classes"]; states && !slices.Contains(names(to, "classes"), name) {
			r.Lost = append(r.Lost, fmt.Sprintf("settings.classes: index %q is not served there", name))
		}
	}
	if _, states := to["classes"]; states { // lists that go index by index would be read for other indexes
		if domain, is := from["domain"].(object); is && !slices.Equal(names(from, "classes"), names(to, "classes")) {
			there, _ := to["domain"].(object)
			for _, key := range []string{"classFloor", "completeFrom", "partialEarns", "secondStep"} {
				if _, had := domain[key]; had {
					delete(domain, key)
					if _, states := there[key]; !states {
						r.Lost = append(r.Lost, "settings.domain."+key+": goes by the old indexes")
					}
				}
			}
		}
	}
	merge(r, "settings", from, to)
	if dcs, is := from["dcs"].([]any); is && !slices.Contains(dcs, from["zone"]) {
		return nil, fmt.Errorf("%s: settings.zone: %v is none of the fleet's: %v", file, from["zone"], dcs)
	}
	if n, most := from["myNumber"], from["balancers"]; n != nil && most != nil && n.(float64) >= most.(float64) {
		return nil, fmt.Errorf("%s: settings.myNumber: %v, the fleet has %v gatherers", file, n, most)
	}
	slices.Sort(r.Lost)
	if r.Text, err = json.MarshalIndent(old, "", "  "); err != nil {
		return nil, err
	}
	r.Text = append(r.Text, '\n')
	if _, err := platform.Parse(r.Text, func(string) string { return "" }); err != nil {
		return nil, fmt.Errorf("%s at %s: %w", file, fleet, err)
	}
	return r, nil
}

// merge lays what the fleet states over what was.
func merge(r *Result, path string, from, to object) {
	for _, key := range slices.Sorted(maps.Keys(to)) {
		was, had := from[key]
		inner, section := to[key].(object)
		before, same := was.(object)
		switch {
		case to[key] == nil:
			delete(from, key)
			if had {
				r.Lost = append(r.Lost, path+"."+key+": the fleet has none")
			}
		case section && same:
			merge(r, path+"."+key, before, inner)
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

// check wants each key known and its value in range; null stands for none where a fleet states it.
func check(settings object, nulls bool) error {
	for _, key := range slices.Sorted(maps.Keys(settings)) {
		v := settings[key]
		if !slices.Contains(sections, key) {
			if err := fits(key, v, nulls); err != nil {
				return err
			}
			continue
		}
		entries, list := v.([]any)
		if !list {
			entries = []any{v}
		}
		if list != (key == "classes" || key == "tenants") {
			return fmt.Errorf("%s: %s", key, map[bool]string{true: "is a list", false: "is no list"}[list])
		}
		for _, e := range entries {
			o, is := e.(object)
			if !is {
				return fmt.Errorf("%s: is no object", key)
			}
			for _, inner := range slices.Sorted(maps.Keys(o)) {
				if err := fits(key+"."+inner, o[inner], nulls && !list); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

func fits(path string, v any, nulls bool) error {
	what, is := known[path]
	if strings.HasPrefix(path, "goal.") || strings.HasPrefix(path, "penalties.") {
		what, is = "number", true
	}
	if !is {
		return fmt.Errorf("%s: unknown key", path)
	}
	if v == nil && nulls {
		return nil
	}
	values, list := v.([]any)
	if one, many := strings.CutSuffix(what, "s"); many {
		if !list {
			return fmt.Errorf("%s: is no list", path)
		}
		what = one
	} else if values = []any{v}; list {
		return fmt.Errorf("%s: is a list", path)
	}
	for _, v := range values {
		n, number := v.(float64)
		text, word := v.(string)
		_, mark := v.(bool)
		switch {
		case what == "number" || what == "share":
			if !number || n < 0 || what == "share" && n > 1 {
				return fmt.Errorf("%s: %v is no %s", path, v, map[string]string{"number": "number from 0 on", "share": "share from 0 to 1"}[what])
			}
		case what == "mark" && !mark, what == "word" && !word:
			return fmt.Errorf("%s: %v is no %s", path, v, map[string]string{"mark": "true or false", "word": "text"}[what])
		case strings.Contains(what, "|") && !(word && slices.Contains(strings.Split(what, "|"), text)):
			return fmt.Errorf("%s: %v is none of %s", path, v, strings.ReplaceAll(what, "|", ", "))
		}
	}
	return nil
}

// read takes a file of one JSON object apart; what is malformed is named by its line.
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
